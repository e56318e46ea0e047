package ctl

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/experiment"
)

// experimentResult is the output of experiment.
type experimentResult struct {
	*experiment.Report
}

func (r experimentResult) writeText(w io.Writer) error { return r.WriteText(w) }

func newExperimentCommand(format *outputFormat) *cobra.Command {
	var plot, pattern string
	var quiet, show bool
	var draw int64
	command := &cobra.Command{
		Use:   "experiment [FILE]",
		Short: "Play decisions of the relay over modelled leaves in virtual time",
		Long: `Experiment drives the relay's own decisions (choice of leaves, hedges, retries,
refusals, cold starts) for a fleet of nodes over modelled leaves and callers, without a
network and without waiting. It prints what became of the requests of each class for each
policy: the mean over the seeds and, in brackets, the least and the greatest. The same file
gives the same figures each time. Without FILE it plays a quiet fleet of 195 nodes, whose
file --show prints; with --draw it plays a fleet of a random shape.`,
		Example: `  redwingctl experiment --show > fleet.jsonc
  redwingctl experiment --pattern dark-leaves --plot dark.png fleet.jsonc`,
		Args:              cobra.MaximumNArgs(1),
		ValidArgsFunction: completeDocuments,
		RunE: func(cmd *cobra.Command, args []string) error {
			if show {
				_, err := cmd.OutOrStdout().Write(experiment.QuietFile())
				return err
			}
			config, err := loadExperiment(args, draw)
			if err != nil {
				return err
			}
			if pattern != "" && !experiment.Apply(config, pattern) {
				return fmt.Errorf("there is no pattern %q, only %s", pattern, strings.Join(experiment.Patterns(), ", "))
			}
			begin := time.Now()
			report := experiment.Run(config, func(r *experiment.Result) {
				if !quiet {
					_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s, seed %d: %v of %.0f s played\n", r.Policy, r.Seed,
						time.Since(begin).Round(time.Millisecond), config.Seconds)
					begin = time.Now()
				}
			})
			if plot != "" {
				if err := report.Plot(plot); err != nil {
					return err
				}
			}
			return format.write(cmd.OutOrStdout(), experimentResult{report})
		},
	}
	command.Flags().StringVar(&plot, "plot", "", "PNG image to write, with the measures over time")
	command.Flags().StringVar(&pattern, "pattern", "", "replace the events by a pattern: "+strings.Join(experiment.Patterns(), ", "))
	command.Flags().Int64Var(&draw, "draw", 0, "play a quiet deployment of a random shape, drawn from this seed")
	command.Flags().BoolVar(&show, "show", false, "print the file of the quiet fleet and end")
	command.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	_ = command.MarkFlagFilename("plot", "png")
	_ = command.RegisterFlagCompletionFunc("pattern", cobra.FixedCompletions(experiment.Patterns(), cobra.ShellCompDirectiveNoFileComp))
	return command
}

// loadExperiment loads the file that is named, draws a deployment if draw is not zero, or returns the
// quiet fleet.
func loadExperiment(files []string, draw int64) (*experiment.Config, error) {
	switch {
	case len(files) > 0 && draw != 0:
		return nil, errors.New("--draw and a file exclude each other")
	case draw != 0:
		return experiment.Draw(draw), nil
	case len(files) == 0:
		return experiment.Parse(experiment.QuietFile())
	}
	return experiment.LoadFile(files[0])
}
