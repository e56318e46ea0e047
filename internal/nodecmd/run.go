package nodecmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/node"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

func newRunCommand(stdout io.Writer) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run one node until SIGTERM or SIGINT, then stop without interrupting any request",
		Long: `Run one node until SIGTERM or SIGINT. The node then reports that it is not ready,
keeps serving for the balancer lag, waits for requests in flight and hands its shares
and tickets over. A second signal ends the wait for the balancer; it interrupts
no request that the node has received.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), file, stdout)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "file with the settings of this host")
	_ = command.MarkFlagRequired("settings")
	_ = command.MarkFlagFilename("settings", "json", "jsonc")
	return command
}

func run(ctx context.Context, file string, stdout io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	loaded, err := settings.LoadFile(file)
	if err != nil {
		return err
	}
	logger, sink := newLogger(stdout)
	defer sink.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	n, err := node.New(loaded, logger)
	if err != nil {
		logger.Error("node can't start", zap.Error(err))
		return err
	}
	skipLag := make(chan os.Signal, 1)
	go func() {
		<-signals
		cancel()
		skipLag <- <-signals
	}()
	return n.Run(ctx, skipLag)
}
