package ctl

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/demo"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// compareAll is the value of --compare that selects every baseline.
const compareAll = "baseline"

// maxLeafRecords bounds the records that each stand-in leaf keeps.
const maxLeafRecords = 1000

// loadOptions are the flags of load.
type loadOptions struct {
	addresses []string
	settings  []string
	embedded  int
	document  string

	mix         []string
	submitShare float64
	rate        float64
	arrivals    string
	warmup      time.Duration
	duration    time.Duration
	requests    int
	timeout     time.Duration
	seed        uint64
	progress    time.Duration
	plot        string
	plots       string

	serviceTime  time.Duration
	serviceSigma float64
	stragglers   stragglers
	connectTime  time.Duration
	fallTime     time.Duration
	coldStart    bool
	entries      int
	events       []string
	compare      []string

	// given holds the flags that are set on the command line.
	given []string
}

// commandLine returns the command line that repeats the run.
func (o *loadOptions) commandLine() string {
	return strings.Join(append([]string{"redwingctl load"}, o.given...), " ")
}

// plan validates the options and returns the plan that they describe.
func (o *loadOptions) plan() (*loadPlan, error) {
	doc, err := o.loadDocument()
	if err != nil {
		return nil, err
	}
	mix, err := o.streams(doc)
	if err != nil {
		return nil, err
	}
	plan := &loadPlan{load: loadgen.Options{
		Mix:              demo.WithSubmits(mix, o.submitShare),
		Arrivals:         loadgen.Arrivals(o.arrivals),
		Rate:             o.rate,
		Warmup:           o.warmup,
		Duration:         o.duration,
		MaxRequests:      o.requests,
		Timeout:          o.timeout,
		Seed:             o.seed,
		ProgressInterval: o.progress,
	}}
	if o.embedded > 0 {
		return plan, o.planSite(plan, doc)
	}
	return plan, o.planRemote(plan)
}

func (o *loadOptions) loadDocument() (*document.Document, error) {
	if o.document == "" {
		if len(o.mix) == 0 || o.embedded > 0 {
			return nil, errors.New("--document is needed with --embedded and without --mix")
		}
		return nil, nil
	}
	loaded, err := document.LoadFile(o.document)
	if err != nil {
		return nil, err
	}
	return loaded.Document, nil
}

// planRemote sets the addresses of the running nodes.
func (o *loadOptions) planRemote(plan *loadPlan) error {
	if len(o.events) > 0 || len(o.compare) > 0 {
		return errors.New("--event and --compare need --embedded")
	}
	plan.load.Addresses = slices.Clone(o.addresses)
	for _, file := range o.settings {
		s, err := settings.LoadFile(file)
		if err != nil {
			return err
		}
		plan.load.Addresses = append(plan.load.Addresses, s.HTTPListen)
	}
	return nil
}

// planSite sets the options, events and baselines of the embedded site.
func (o *loadOptions) planSite(plan *loadPlan, doc *document.Document) error {
	plan.site = demo.Options{
		Document: doc,
		Nodes:    o.embedded,
		Entries:  o.entries,
		Seed:     o.seed,
		Leaf: standin.LeafOptions{
			StartWarm:    !o.coldStart,
			FallTime:     o.fallTime,
			ServiceTime:  o.serviceTime,
			ServiceSigma: o.serviceSigma,
			SlowEvery:    o.stragglers.every,
			SlowFactor:   o.stragglers.factor,
			ConnectTime:  o.connectTime,
			MaxRecords:   maxLeafRecords,
		},
	}
	for _, text := range o.events {
		event, err := demo.ParseEvent(text)
		if err != nil {
			return err
		}
		plan.events = append(plan.events, event)
	}
	plan.baselines = o.compare
	if slices.Contains(o.compare, compareAll) {
		plan.baselines = demo.Baselines()
	}
	for _, name := range plan.baselines {
		if _, err := demo.WithBaseline(doc, name); err != nil {
			return err
		}
	}
	return nil
}

// streams returns the mix given with --mix, or that of the document by default.
func (o *loadOptions) streams(doc *document.Document) ([]loadgen.Stream, error) {
	var all []loadgen.Stream
	if doc != nil {
		all = demo.Mix(doc)
	}
	if len(o.mix) == 0 {
		return all, nil
	}
	var chosen []loadgen.Stream
	for _, text := range o.mix {
		stream, err := parseStream(text)
		if err != nil {
			return nil, err
		}
		if doc != nil {
			if err := fillFromDocument(&stream, all); err != nil {
				return nil, err
			}
		}
		chosen = append(chosen, stream)
	}
	return chosen, nil
}

// parseStream parses one part of a mix, such as adom/dispatch/fitter=3.
func parseStream(text string) (loadgen.Stream, error) {
	stream := loadgen.Stream{Weight: 1, Body: "{}"}
	name, weight, weighted := strings.Cut(text, "=")
	if weighted {
		if _, err := fmt.Sscanf(weight, "%g", &stream.Weight); err != nil {
			return stream, fmt.Errorf("--mix %q: weight %q is not a number", text, weight)
		}
	}
	parts := strings.Split(name, "/")
	if len(parts) < 2 || len(parts) > 3 {
		return stream, fmt.Errorf("--mix %q is not of the form CUSTOMER/SERVICE[/CLASS][=WEIGHT]", text)
	}
	stream.Customer, stream.Service = parts[0], parts[1]
	if len(parts) == 3 {
		stream.Class = parts[2]
	}
	return stream, nil
}

// fillFromDocument sets the body, limit and shards of a stream to those of the first
// matching stream of a document. It returns an error if none matches.
func fillFromDocument(stream *loadgen.Stream, all []loadgen.Stream) error {
	i := slices.IndexFunc(all, func(s loadgen.Stream) bool {
		return s.Customer == stream.Customer && s.Service == stream.Service && (stream.Class == "" || stream.Class == s.Class)
	})
	if i < 0 {
		return fmt.Errorf("--mix: the document has no %s", stream.Name())
	}
	stream.Body = all[i].Body
	stream.Limit = all[i].Limit
	stream.Shards = all[i].Shards
	return nil
}
