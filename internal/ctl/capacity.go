package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/capacity"
)

func newCapacityCommand(format *outputFormat) *cobra.Command {
	options := &capacity.Options{}
	var modes []string
	command := &cobra.Command{
		Use:   "capacity --node-binary FILE",
		Short: "Measure control-plane overhead in fleets of several sizes",
		Long: `Capacity starts fleets of node processes on loopback, with a stand-in of the
platform and a generated document, and measures the control-plane overhead of each
node: processor time, memory, bytes and reads of the platform's service. The modes
are idle, changes (new documents), hosts (new host lists) and restarts (planned stops
and kills in the last cell). It then measures how long documents take to come into
force on all nodes, and extrapolates linear fits of the measurements to 600 nodes.`,
		Example: `  redwingctl capacity --node-binary ./redwingshelf
  redwingctl capacity --node-binary ./redwingshelf --nodes 24 --leaves 470,4700 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			for _, mode := range modes {
				options.Modes = append(options.Modes, capacity.Mode(mode))
			}
			return runCapacity(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), format, options)
		},
	}
	addCapacityFlags(command, options, &modes)
	return command
}

func addCapacityFlags(command *cobra.Command, o *capacity.Options, modes *[]string) {
	const (
		duration = 20 * time.Second
		interval = 4 * time.Second
		leaves   = 4700
		rounds   = 5
	)
	var names []string
	for _, mode := range capacity.Modes() {
		names = append(names, string(mode))
	}
	flags := command.Flags()
	flags.StringVar(&o.NodeBinary, "node-binary", "", "the redwingshelf program")
	flags.IntSliceVar(&o.Nodes, "nodes", []int{6, 12, 24, 48, 96}, "sizes of the fleets")
	flags.IntSliceVar(&o.Leaves, "leaves", []int{leaves}, "numbers of leaves in the document")
	flags.StringSliceVar(modes, "modes", names, "modes to measure")
	flags.DurationVar(&o.Duration, "duration", duration, "length of each mode")
	flags.DurationVar(&o.ChangeInterval, "change-interval", interval, "time between two documents or host lists")
	flags.DurationVar(&o.RestartInterval, "restart-interval", interval, "time between two restarts")
	flags.IntVar(&o.PropagationRounds, "spread-rounds", rounds, "documents that are timed until they are in force")
	_ = command.MarkFlagRequired("node-binary")
	_ = command.MarkFlagFilename("node-binary")
}

// capacityReport is the output of capacity.
type capacityReport struct {
	*capacity.Report
}

func (r capacityReport) writeText(w io.Writer) error { return r.WriteText(w) }

func runCapacity(ctx context.Context, stdout, stderr io.Writer, format *outputFormat, o *capacity.Options) error {
	o.Progress = func(text string) { _, _ = fmt.Fprintln(stderr, text) }
	report, err := capacity.Run(ctx, *o)
	if report != nil && len(report.Points) > 0 {
		if err := format.write(stdout, capacityReport{report}); err != nil {
			return err
		}
	}
	return err
}
