package ctl

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// digestResult is the output of digest.
type digestResult struct {
	Files []fileDigest `json:"files"`
}

// fileDigest is the identity of one file.
type fileDigest struct {
	File string `json:"file"`
	document.Identity
}

func newDigestCommand(format *outputFormat) *cobra.Command {
	return &cobra.Command{
		Use:   "digest FILE...",
		Short: "Print the digest and revision of documents",
		Long: `Digest prints the SHA-256 of each document's exact bytes and its revision, as
"redwingctl status" shows them for the document in force on each host.`,
		Example:           `  redwingctl digest examples/adom.jsonc`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeDocuments,
		RunE: func(cmd *cobra.Command, files []string) error {
			r := &digestResult{}
			for _, file := range files {
				loaded, err := document.LoadFile(file)
				if err != nil {
					return err
				}
				r.Files = append(r.Files, fileDigest{File: file, Identity: loaded.Identity})
			}
			return format.write(cmd.OutOrStdout(), r)
		},
	}
}

func (r *digestResult) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	for _, f := range r.Files {
		out.printf("%s  revision %d  %s", f.Digest, f.Revision, f.File)
	}
	return out.err
}
