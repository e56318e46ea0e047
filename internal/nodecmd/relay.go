package nodecmd

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/relaynode"
	"github.com/redwingshelf/redwingshelf/platform"
)

// settingsInterval is the time between looks at the settings file.
const settingsInterval = 3 * time.Second

func newRelayCommand(stdout io.Writer) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "relay [--settings FILE]",
		Short: "Run one node on the users' platform until SIGTERM or SIGINT",
		Long: `Run one node that relays requests between callers and leaves on the users'
platform. The routes and the leaves come from the platform's store. The settings file
is the platform's; without the flag its path is taken from ` + platform.SettingsVariable + `.

On SIGTERM the node reports that it is not ready, serves on while the balancer notices,
and exits when its requests have ended.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			if file == "" {
				return errors.New("no settings file: use --settings or set " + platform.SettingsVariable)
			}
			return runRelay(file, stdout)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of the platform")
	return command
}

// runRelay runs a node until SIGTERM or SIGINT. From the first step until the node has
// stopped SIGHUP does not end the process, as it does by default.
func runRelay(file string, stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logger, sink := newLogger(stdout)
	defer sink.Close()
	s, err := platform.LoadSettings(file)
	if err != nil {
		logger.Error("settings can't be used", zap.String("file", file), zap.Error(err))
		return err
	}
	n, err := relaynode.New(s.Node, platform.Dialect{}, platform.NewStore(s.StoreAddress, logger), logger, sink.Dropped)
	if err != nil {
		logger.Error("node can't start", zap.Error(err))
		return err
	}
	go watchSettings(ctx, reload, file, s, n, logger)
	return n.Run(ctx)
}

// watchSettings reads the settings file again on SIGHUP and from time to time, since
// it can also change without a signal. Changed seeds take effect at once; the rest is
// fixed for the life of the process.
func watchSettings(ctx context.Context, reload <-chan os.Signal, file string, current *platform.Settings, n *relaynode.Node, logger *zap.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	broken := false
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		changed, err := platform.LoadSettings(file)
		if err != nil {
			if !broken || signalled {
				logger.Error("changed settings can't be used, the former ones stay", zap.String("file", file), zap.Error(err))
			}
			broken = true
			continue
		}
		broken = false
		if signalled {
			logger.Info("settings read again")
		}
		if !slices.Equal(changed.Node.Seeds, current.Node.Seeds) {
			current = changed
			n.SetSeeds(changed.Node.Seeds)
		}
	}
}
