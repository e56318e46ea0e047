package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// maxHosts bounds the number of hosts that explain places a document on.
const maxHosts = 10_000

// explainOptions are the flags of explain.
type explainOptions struct {
	hosts  int
	cells  int
	leaves bool
}

func newExplainCommand(format *outputFormat) *cobra.Command {
	options := &explainOptions{}
	command := &cobra.Command{
		Use:   "explain FILE --hosts N",
		Short: "Show what a document means for hosts and leaves",
		Long: `Explain places a document on a number of hosts, spread evenly over its data
centres, and shows the shares and connections of hosts and leaves, the worst
case against each limit, and the shards that remain without each data centre.
It exits with 1 if a worst case exceeds a limit, a leaf has no holder or a shard
has no leaf that accepts work.`,
		Example: `  redwingctl explain examples/adom.jsonc --hosts 6
  redwingctl explain examples/adom.jsonc --hosts 6 --leaves
  redwingctl explain fleet.jsonc --hosts 600 --cells 20 --output json`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeDocuments,
		RunE: func(cmd *cobra.Command, files []string) error {
			return runExplain(cmd.OutOrStdout(), format, files[0], options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 0, "number of hosts")
	flags.IntVar(&options.cells, "cells", 1, "number of cells in each region")
	flags.BoolVar(&options.leaves, "leaves", false, "show the shares of each leaf")
	_ = command.MarkFlagRequired("hosts")
	return command
}

func runExplain(w io.Writer, format *outputFormat, file string, options *explainOptions) error {
	if options.hosts < 1 || options.hosts > maxHosts {
		return fmt.Errorf("--hosts must be from 1 to %d, got %d", maxHosts, options.hosts)
	}
	if options.cells < 1 || options.cells > options.hosts {
		return fmt.Errorf("--cells must be from 1 to the number of hosts, got %d", options.cells)
	}
	loaded, err := document.LoadFile(file)
	if err != nil {
		return err
	}
	r, err := explain(loaded, options)
	if err != nil {
		return err
	}
	if err := format.write(w, r); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return errFinding
	}
	return nil
}

// modelHosts returns n hosts, assigned to the data centres round-robin. Each region
// has the given number of cells.
func modelHosts(doc *document.Document, n, cells int) []placement.Host {
	hosts := make([]placement.Host, n)
	for i := range hosts {
		dc := doc.DataCentres[i%len(doc.DataCentres)]
		round := i / len(doc.DataCentres)
		hosts[i] = placement.Host{
			Name:       fmt.Sprintf("host-%0*d", len(fmt.Sprint(n)), i+1),
			DataCentre: dc.Name,
			Region:     dc.Region,
			Cell:       fmt.Sprintf("%s-%d", dc.Region, round%cells),
		}
	}
	return hosts
}
