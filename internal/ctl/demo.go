package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/demo"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	demoNodes       = 3
	demoServiceTime = 5 * time.Millisecond
	demoTimeout     = 5 * time.Second
	demoHits        = 3
	demoSearch      = `{"text": "entry"}`
	demoSubmit      = `{"note": "second pane"}`
	demoKey         = "roof-7"
)

// demoOptions are the flags of demo.
type demoOptions struct {
	documents []string
	keep      bool
}

func newDemoCommand(format *outputFormat) *cobra.Command {
	options := &demoOptions{}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small site in this process and send requests to it",
		Long: `Demo starts stand-ins for the platform and for the leaves of a document, and
three nodes, all in this process and on loopback. It sends a search and a
request that must run at most once, sends the latter again under the same
ticket, prints the answers and ends. With --keep it goes on until it is
interrupted.`,
		Example: `  redwingctl demo
  redwingctl demo --document examples/adom.jsonc --keep`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			return runDemos(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), format, options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.documents, "document", []string{"examples/adom.jsonc", "examples/olivera.jsonc"},
		"documents to run, one after the other")
	flags.BoolVar(&options.keep, "keep", false, "keep the site running until interrupted")
	_ = command.MarkFlagFilename("document", "json", "jsonc")
	return command
}

func runDemos(ctx context.Context, stdout, stderr io.Writer, format *outputFormat, options *demoOptions) error {
	complete := true
	for _, file := range options.documents {
		loaded, err := document.LoadFile(file)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(stderr, "starting %d leaves, a platform and %d nodes for %s\n", loaded.Index.NumLeaves(), demoNodes, file)
		result, err := runDemo(ctx, stdout, format, file, loaded, options.keep)
		if err != nil {
			return err
		}
		complete = complete && result.ok()
	}
	if !complete {
		return errFinding
	}
	return nil
}

func runDemo(ctx context.Context, stdout io.Writer, format *outputFormat, file string, loaded *document.Loaded, keepRunning bool) (result *demoResult, err error) {
	site, err := demo.Start(ctx, demo.Options{
		Document: loaded.Document,
		Nodes:    demoNodes,
		Leaf:     standin.LeafOptions{StartWarm: true, ServiceTime: demoServiceTime},
	})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, site.Close()) }()
	result = newDemoResult(file, loaded, site)
	if err := result.send(ctx); err != nil {
		return nil, err
	}
	result.Runs = site.Summary().SubmitsRun
	if err := format.write(stdout, result); err != nil {
		return nil, err
	}
	if keepRunning {
		return result, result.keepRunning(ctx, stdout)
	}
	return result, nil
}

// demoHost is one node of the demo.
type demoHost struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	OpsAddress string `json:"ops_address"`
}

// demoResult is the output of demo for one document.
type demoResult struct {
	Document string            `json:"document"`
	Identity document.Identity `json:"identity"`
	Platform string            `json:"platform"`
	Leaves   int               `json:"leaves"`
	Hosts    []demoHost        `json:"hosts"`
	Customer string            `json:"customer"`
	Service  string            `json:"service"`
	Search   *queryAnswer      `json:"search"`
	Ticket   string            `json:"ticket"`
	Submit   *queryAnswer      `json:"submit"`
	// Resent is the answer to the request sent again under the same ticket.
	Resent *queryAnswer `json:"resent"`
	// Runs is the number of times the leaves ran the request, by their own count.
	Runs int `json:"runs"`
}

// ok reports whether the answers are complete and the request ran once.
func (r *demoResult) ok() bool {
	return r.Search.complete() && r.Submit.complete() && r.Runs == 1
}

func newDemoResult(file string, loaded *document.Loaded, site *demo.Site) *demoResult {
	service := loaded.Index.Services()[0]
	r := &demoResult{
		Document: file,
		Identity: loaded.Identity,
		Platform: site.PlatformURL(),
		Leaves:   site.Leaves(),
		Customer: service.Customer,
		Service:  service.Name,
	}
	for _, h := range site.Hosts() {
		r.Hosts = append(r.Hosts, demoHost{Name: h.Name(), Address: h.Address(), OpsAddress: h.OpsAddress()})
	}
	return r
}

// send sends a search and a request that must run at most once, and then sends the
// latter again under the same ticket.
func (r *demoResult) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*demoTimeout)
	defer cancel()
	search := r.query()
	search.limit = demoHits
	var err error
	if r.Search, err = sendQuery(ctx, search, []byte(demoSearch)); err != nil {
		return err
	}
	if r.Ticket, err = fetchTicket(ctx, search.address); err != nil {
		return err
	}
	if r.Submit, err = r.submit(ctx); err != nil {
		return err
	}
	r.Resent, err = r.submit(ctx)
	return err
}

func (r *demoResult) query() *queryOptions {
	return &queryOptions{address: r.Hosts[0].Address, customer: r.Customer, service: r.Service, timeout: demoTimeout}
}

// submit sends the request that must run at most once under the ticket.
func (r *demoResult) submit(ctx context.Context) (*queryAnswer, error) {
	options := r.query()
	options.submit = true
	options.key = demoKey
	request, err := newQueryRequest(ctx, options, []byte(demoSubmit))
	if err != nil {
		return nil, err
	}
	request.Header.Set(entry.HeaderTicket, r.Ticket)
	status, body, err := do(request)
	if err != nil {
		return nil, err
	}
	return parseAnswer(status, body)
}
