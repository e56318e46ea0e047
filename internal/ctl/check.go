package ctl

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// checkResult is the output of check.
type checkResult struct {
	Files []checkedFile `json:"files"`
}

// checkedFile is the outcome for one file.
type checkedFile struct {
	File string `json:"file"`
	OK   bool   `json:"ok"`
	// Identity, Services and Leaves are set for a document that is accepted.
	Identity *document.Identity `json:"identity,omitempty"`
	Services int                `json:"services,omitempty"`
	Leaves   int                `json:"leaves,omitempty"`
	// Host is set for settings that are accepted.
	Host     string          `json:"host,omitempty"`
	Problems []jsonc.Problem `json:"problems,omitempty"`
	// Omitted counts problems beyond those listed.
	Omitted int `json:"omitted,omitempty"`

	err error
}

func newCheckCommand(format *outputFormat) *cobra.Command {
	var asSettings, asTables bool
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check documents or settings and list every problem",
		Long: `Check reads each file as a node would and lists every problem with its line and
field. It exits with 1 if a file would be refused.

With --platform the files are configurations of the users' platform, as they are
written to its store. Check then also tells what has no effect: routes that can never
match, services that no route uses, limits that contradict each other. It exits with 1
for these too. Keys are never printed.`,
		Example: `  redwingctl check examples/adom.jsonc
  redwingctl check --platform next.json
  redwingctl check --settings examples/settings/*.jsonc`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeDocuments,
		RunE: func(cmd *cobra.Command, files []string) error {
			if asTables {
				return runTableCheck(cmd.OutOrStdout(), format, files)
			}
			return runCheck(cmd.OutOrStdout(), format, files, asSettings)
		},
	}
	command.Flags().BoolVar(&asSettings, "settings", false, "the files are settings of hosts")
	command.Flags().BoolVar(&asTables, "platform", false, "the files are configurations of the users' platform")
	command.MarkFlagsMutuallyExclusive("platform", "settings")
	return command
}

func runCheck(w io.Writer, format *outputFormat, files []string, asSettings bool) error {
	r := &checkResult{}
	accepted := true
	for _, file := range files {
		checked, err := checkFile(file, asSettings)
		if err != nil {
			return err
		}
		accepted = accepted && checked.OK
		r.Files = append(r.Files, checked)
	}
	if err := format.write(w, r); err != nil {
		return err
	}
	if !accepted {
		return errFinding
	}
	return nil
}

// checkFile returns an error only if the file can't be read.
func checkFile(file string, asSettings bool) (checkedFile, error) {
	checked := checkedFile{File: file}
	var err error
	if asSettings {
		err = checked.loadSettings()
	} else {
		err = checked.loadDocument()
	}
	var problems *jsonc.Error
	if errors.As(err, &problems) {
		checked.err = problems
		checked.Problems = problems.Problems
		checked.Omitted = problems.Omitted
		return checked, nil
	}
	checked.OK = err == nil
	return checked, err
}

func (c *checkedFile) loadSettings() error {
	s, err := settings.LoadFile(c.File)
	if err != nil {
		return err
	}
	c.Host = s.Name
	return nil
}

func (c *checkedFile) loadDocument() error {
	loaded, err := document.LoadFile(c.File)
	if err != nil {
		return err
	}
	c.Identity = &loaded.Identity
	c.Services = len(loaded.Index.Services())
	c.Leaves = loaded.Index.NumLeaves()
	return nil
}

func (r *checkResult) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	for _, file := range r.Files {
		switch {
		case !file.OK:
			out.printf("%v", file.err)
		case file.Identity != nil:
			out.printf("%s: ok, %v, %d services, %d leaves", file.File, *file.Identity, file.Services, file.Leaves)
		default:
			out.printf("%s: ok, host %s", file.File, file.Host)
		}
	}
	return out.err
}
