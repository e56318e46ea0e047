// Package ctl implements redwingctl, the command line for operators.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFinding reports that a command found a problem or a difference.
	ExitFinding = 1
	// ExitUsage reports wrong arguments, or input that can't be read.
	ExitUsage = 2
)

// errFinding makes a command that has printed its findings exit with ExitFinding.
var errFinding = errors.New("problems or differences were found")

// Execute runs the command line and returns its exit code.
func Execute(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := NewRootCommand()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFinding):
		return ExitFinding
	default:
		_, _ = fmt.Fprintln(stderr, "redwingctl:", err)
		return ExitUsage
	}
}

// NewRootCommand returns the root command with all its subcommands.
func NewRootCommand() *cobra.Command {
	format := outputText
	root := &cobra.Command{
		Use:   "redwingctl",
		Short: "Check documents and watch the hosts of redwingshelf",
		Long: `redwingctl checks and compares the documents that drive redwingshelf, shows
what they mean for hosts and leaves, and asks running hosts for their status.

Exit codes: 0 success, 1 a problem or difference was found, 2 wrong usage or
unreadable input.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.Var(&format, "output", `output format, "text" or "json"`)
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(outputText), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		newCapacityCommand(&format),
		newCheckCommand(&format),
		newDemoCommand(&format),
		newDiffCommand(&format),
		newDigestCommand(&format),
		newExperimentCommand(&format),
		newExplainCommand(&format),
		newLoadCommand(&format),
		newQueryCommand(&format),
		newStatusCommand(&format),
		newTraceCommand(),
	)
	return root
}

// completeDocuments completes arguments with the names of JSON and JSONC files.
func completeDocuments(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"json", "jsonc"}, cobra.ShellCompDirectiveFilterFileExt
}
