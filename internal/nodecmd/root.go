// Package nodecmd implements the command line of the node program.
package nodecmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(stdout)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "redwingshelf:", err)
		return exitFailure
	}
	return exitOK
}

func newRootCommand(stdout io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "redwingshelf",
		Short:         "A query tier over many shards",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(stdout), newRelayCommand(stdout))
	return root
}
