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

// settingsPollInterval is the time between checks of the settings file.
const settingsPollInterval = 3 * time.Second

func newRelayCommand(stdout io.Writer) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "relay [--settings FILE]",
		Short: "Run one node on the users' platform until SIGTERM or SIGINT",
		Long: `Run one node that relays requests between callers and leaves on the users'
platform. The routes and the leaves come from the platform's store. The settings file
is the platform's; without the flag its path is taken from ` + platform.SettingsVariable + `.

On SIGTERM the node reports that it is not ready, keeps serving until the load balancer
has had time to notice, and exits when its requests have ended.`,
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

// runRelay runs a node until SIGTERM or SIGINT. SIGHUP, which ends a process by default,
// is caught throughout, also while the settings are read and while the node stops.
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
		logger.Error("failed to load settings", zap.String("file", file), zap.Error(err))
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

// watchSettings reloads the settings file on SIGHUP and once per settingsPollInterval,
// since it can also change without a signal. Changed seeds take effect at once; all other
// settings are fixed for the life of the process.
func watchSettings(ctx context.Context, reload <-chan os.Signal, file string, current *platform.Settings, n *relaynode.Node, logger *zap.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastFailed := false
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
			if !lastFailed || signalled {
				logger.Error("failed to reload settings, keeping the previous ones", zap.String("file", file), zap.Error(err))
			}
			lastFailed = true
			continue
		}
		lastFailed = false
		if signalled {
			logger.Info("settings reloaded")
		}
		if !slices.Equal(changed.Node.Seeds, current.Node.Seeds) {
			current = changed
			n.SetSeeds(changed.Node.Seeds)
		}
	}
}
