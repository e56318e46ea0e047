package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// diffResult is the output of diff.
type diffResult struct {
	Old document.Identity `json:"old"`
	New document.Identity `json:"new"`
	// SameBytes is set if both files have the same bytes.
	SameBytes bool              `json:"same_bytes"`
	Changes   []document.Change `json:"changes"`
	Warnings  []string          `json:"warnings,omitempty"`
}

func newDiffCommand(format *outputFormat) *cobra.Command {
	var asTables bool
	command := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what a new document changes",
		Long: `Diff lists the differences in meaning between two documents: "+" for an
addition, "-" for a removal and "~" for a change. It exits with 0 only if both
files have the same bytes, which proves that a document went from trial to
production unchanged.

With --platform the files are configurations of the users' platform; diff then also
tells which requests each difference touches, and exits with 0 if there is none.`,
		Example: `  redwingctl diff published.jsonc examples/adom.jsonc
  redwingctl diff --output json trial.jsonc production.jsonc`,
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeDocuments,
		RunE: func(cmd *cobra.Command, files []string) error {
			if asTables {
				return runTableDiff(cmd.OutOrStdout(), format, files[0], files[1])
			}
			return runDiff(cmd.OutOrStdout(), format, files[0], files[1])
		},
	}
	command.Flags().BoolVar(&asTables, "platform", false, "the files are configurations of the users' platform")
	return command
}

func runDiff(w io.Writer, format *outputFormat, oldFile, newFile string) error {
	before, err := document.LoadFile(oldFile)
	if err != nil {
		return err
	}
	after, err := document.LoadFile(newFile)
	if err != nil {
		return err
	}
	r := compare(before, after)
	if err := format.write(w, r); err != nil {
		return err
	}
	if !r.SameBytes {
		return errFinding
	}
	return nil
}

func compare(before, after *document.Loaded) *diffResult {
	r := &diffResult{
		Old:       before.Identity,
		New:       after.Identity,
		SameBytes: before.Identity == after.Identity,
		Changes:   document.Diff(before.Document, after.Document),
	}
	if r.SameBytes {
		return r
	}
	switch {
	case r.Old.ConflictsWith(r.New):
		r.Warnings = append(r.Warnings, fmt.Sprintf(
			"both documents have revision %d; nodes refuse the second one they see", r.New.Revision))
	case r.New.Revision < r.Old.Revision:
		r.Warnings = append(r.Warnings, fmt.Sprintf(
			"revision %d is below %d; nodes refuse the new document", r.New.Revision, r.Old.Revision))
	}
	return r
}

func (r *diffResult) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	out.printf("old: %v", r.Old)
	out.printf("new: %v", r.New)
	for _, change := range r.Changes {
		out.printf("%v", change)
	}
	switch {
	case r.SameBytes:
		out.printf("same bytes")
	case len(r.Changes) == 0:
		out.printf("same meaning, other bytes")
	}
	for _, warning := range r.Warnings {
		out.printf("WARNING: %s", warning)
	}
	return out.err
}
