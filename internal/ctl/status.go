package ctl

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// defaultStatusTimeout bounds the status request to each host.
const defaultStatusTimeout = 2 * time.Second

// statusOptions are the flags of status.
type statusOptions struct {
	addresses []string
	settings  []string
	timeout   time.Duration
}

func newStatusCommand(format *outputFormat) *cobra.Command {
	options := &statusOptions{}
	command := &cobra.Command{
		Use:   "status {--addresses IP:PORT,... | --settings FILE}",
		Short: "Show the document in force and the state of each host",
		Long: `Status asks the operators' address of each host for the document in force, the
time since its acceptance, the shares held, its leaves by state and its
incarnation. It exits with 1 if hosts have different documents or don't answer.`,
		Example: `  redwingctl status --settings examples/settings/adom-tema-1.jsonc
  redwingctl status --addresses 127.0.1.1:7081,127.0.1.2:7081 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd.Context(), cmd.OutOrStdout(), format, options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.addresses, "addresses", nil, "operators' addresses of the hosts")
	flags.StringSliceVar(&options.settings, "settings", nil, "settings files that name the hosts and their peers")
	flags.DurationVar(&options.timeout, "timeout", defaultStatusTimeout, "time allowed for each host")
	command.MarkFlagsOneRequired("addresses", "settings")
	_ = command.MarkFlagFilename("settings", "json", "jsonc")
	return command
}

func runStatus(ctx context.Context, w io.Writer, format *outputFormat, options *statusOptions) error {
	if options.timeout <= 0 {
		return errors.New("--timeout must be positive")
	}
	addresses, err := options.allAddresses()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	fleet := readFleet(ctx, addresses, options.timeout)
	if err := format.write(w, fleet); err != nil {
		return err
	}
	if len(fleet.Warnings) > 0 {
		return errFinding
	}
	return nil
}

// allAddresses returns the addresses given by flags and by settings files, without
// duplicates.
func (o *statusOptions) allAddresses() ([]string, error) {
	addresses := slices.Clone(o.addresses)
	for _, file := range o.settings {
		s, err := settings.LoadFile(file)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, s.OpsListen)
		for _, peer := range s.Peers {
			if peer.OpsAddress != "" {
				addresses = append(addresses, peer.OpsAddress)
			}
		}
	}
	var unique []string
	for _, address := range addresses {
		if !slices.Contains(unique, address) {
			unique = append(unique, address)
		}
	}
	return unique, nil
}
