package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/redwingshelf/redwingshelf/internal/demo"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/report"
)

// chosenRun is the name of the run with the document's own policies.
const chosenRun = "chosen"

func newLoadCommand(format *outputFormat) *cobra.Command {
	options := &loadOptions{}
	command := &cobra.Command{
		Use:   "load {--addresses IP:PORT,... | --settings FILE,... | --embedded NODES}",
		Short: "Send requests at a rate and report latency, coverage and leaf load",
		Long: `Load sends requests at a given rate, whether or not earlier ones have been
answered, and reports latency from the time at which each request was due, the
coverage of answers, outcomes by kind and every second of the run. Answers are
checked: each must have the request's own id and one snapshot.

With --embedded it starts stand-ins and nodes in this process. It then also
checks hits against the stand-in data, counts what the leaves received, applies
--event changes and repeats the run with other policies for --compare.

Events have the form TIME:ACTION=NAME, with the time since the warm-up:
` + demo.ActionHelp() + `
It exits with 1 if an answer is wrong or no request got a result.`,
		Example: `  redwingctl load --addresses 127.0.1.1:7080 --document examples/adom.jsonc --rate 50 --duration 10s
  redwingctl load --embedded 6 --document examples/adom.jsonc --rate 300 --duration 20s \
      --service-time 5ms --stragglers 1/100x10 --event 10s:out=madina --event 15s:in=madina \
      --compare baseline --plots plots`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			return runLoad(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), format, options)
		},
	}
	options.addFlags(command)
	return command
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// loadReport is the output of load.
type loadReport struct {
	*report.Report
}

func (r loadReport) writeText(w io.Writer) error { return r.WriteText(w) }

func runLoad(ctx context.Context, stdout, stderr io.Writer, format *outputFormat, options *loadOptions) error {
	plan, err := options.plan()
	if err != nil {
		return err
	}
	plan.load.Progress = func(p loadgen.Progress) { writeProgress(stderr, p) }
	runs, err := plan.runAll(ctx, stderr)
	if err != nil {
		return err
	}
	r := report.New(options.commandLine(), runs)
	if err := format.write(stdout, loadReport{r}); err != nil {
		return err
	}
	if err := options.writePlots(r); err != nil {
		return err
	}
	if r.Wrong() > 0 || runs[0].Result.Latency.Count == 0 {
		return errFinding
	}
	return nil
}

func writeProgress(w io.Writer, p loadgen.Progress) {
	_, _ = fmt.Fprintf(w, "%v of %v: sent %d, answered %d, in progress %d, p99 %v\n",
		p.Elapsed.Round(time.Second), p.Total, p.Sent, p.Answered, p.InFlight, p.P99)
}

func (o *loadOptions) writePlots(r *report.Report) error {
	if o.plot != "" {
		if err := r.PlotSeries(o.plot); err != nil {
			return err
		}
	}
	if o.plots != "" {
		return r.PlotAll(o.plots)
	}
	return nil
}

// loadPlan holds the validated options of load.
type loadPlan struct {
	load loadgen.Options
	// site and the fields below are only used with --embedded.
	site      demo.Options
	events    []demo.Event
	baselines []string
}

func (p *loadPlan) runAll(ctx context.Context, stderr io.Writer) ([]report.Run, error) {
	if p.site.Nodes == 0 {
		result, err := loadgen.Run(ctx, p.load)
		if err != nil {
			return nil, err
		}
		return []report.Run{{Name: chosenRun, Result: result}}, nil
	}
	chosen, err := p.experiment(ctx, stderr, chosenRun, p.site.Document)
	if err != nil {
		return nil, err
	}
	runs := []report.Run{chosen}
	for _, name := range p.baselines {
		doc, err := demo.WithBaseline(p.site.Document, name)
		if err != nil {
			return nil, err
		}
		run, err := p.experiment(ctx, stderr, name, doc)
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func (p *loadPlan) experiment(ctx context.Context, stderr io.Writer, name string, doc *document.Document) (report.Run, error) {
	if ctx.Err() != nil {
		return report.Run{}, errors.New("interrupted before run " + name)
	}
	_, _ = fmt.Fprintf(stderr, "run %s: %d nodes, rate %g/s for %v after %v\n",
		name, p.site.Nodes, p.load.Rate, p.load.Duration, p.load.Warmup)
	site := p.site
	site.Document = doc
	site.AllowUnserved = name != chosenRun
	return demo.Experiment{Name: name, Site: site, Load: p.load, Events: p.events}.Run(ctx)
}
