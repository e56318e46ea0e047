package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	// crashTime is how long the leaves of a crashed instance stay down.
	crashTime = 2 * time.Second
	// rolloutTime is the time over which all leaves of a service get a new snapshot.
	rolloutTime = 2 * time.Second
)

// Event is one change to the site during an experiment.
type Event struct {
	// At is the time since the measured part began.
	At       time.Duration
	Action   string
	Argument string
}

// String formats the event in the form that ParseEvent reads.
func (e Event) String() string { return fmt.Sprintf("%v:%s=%s", e.At, e.Action, e.Argument) }

// action is one kind of event.
type action struct {
	name string
	help string
	run  func(ctx context.Context, s *Site, argument string) error
}

var actions = []action{
	{"out", "operators take a data centre out of service", func(_ context.Context, s *Site, arg string) error { return s.TakeOut(arg) }},
	{"in", "operators put a data centre back into service", func(_ context.Context, s *Site, arg string) error { return s.PutBack(arg) }},
	{"lose", "all leaves of a data centre crash and stay down", crashDataCentre},
	{"restore", "the leaves of a lost data centre restart cold", restartDataCentre},
	{"crash", "the leaves of an instance crash and restart cold after 2s", crashInstance},
	{"chill", "the leaves of an instance turn cold", chillInstance},
	{"rollout", "a service (CUSTOMER/SERVICE) gets a new snapshot, leaf by leaf", rolloutService},
	{"repartition", "as rollout, with other key ranges", repartitionService},
}

// ActionHelp returns one line for each kind of event.
func ActionHelp() string {
	var b strings.Builder
	for _, a := range actions {
		fmt.Fprintf(&b, "  %-12s %s\n", a.name, a.help)
	}
	return b.String()
}

// ParseEvent parses an event such as "10s:out=madina".
func ParseEvent(text string) (Event, error) {
	at, rest, found := strings.Cut(text, ":")
	name, argument, valued := strings.Cut(rest, "=")
	if !found || !valued || argument == "" {
		return Event{}, fmt.Errorf("event %q is not of the form TIME:ACTION=NAME", text)
	}
	d, err := time.ParseDuration(at)
	if err != nil || d < 0 {
		return Event{}, fmt.Errorf("event %q: %q is not a time such as 10s", text, at)
	}
	if findAction(name) == nil {
		return Event{}, fmt.Errorf("event %q: action %q does not exist", text, name)
	}
	return Event{At: d, Action: name, Argument: argument}, nil
}

func findAction(name string) *action {
	i := slices.IndexFunc(actions, func(a action) bool { return a.name == name })
	if i < 0 {
		return nil
	}
	return &actions[i]
}

// Apply applies an event to the site.
func (s *Site) Apply(ctx context.Context, e Event) error {
	a := findAction(e.Action)
	if a == nil {
		return fmt.Errorf("action %q does not exist", e.Action)
	}
	if err := a.run(ctx, s, e.Argument); err != nil {
		return fmt.Errorf("event %s: %w", e, err)
	}
	return nil
}

// TakeOut publishes a document in which a data centre is taken out.
func (s *Site) TakeOut(centre string) error {
	err := s.updateDocument(func(doc *document.Document) error {
		known := slices.ContainsFunc(doc.DataCentres, func(d document.DataCentre) bool { return d.Name == centre })
		if !known {
			return fmt.Errorf("data centre %q is not in the document", centre)
		}
		if !slices.Contains(doc.TakenOut, centre) {
			doc.TakenOut = append(slices.Clone(doc.TakenOut), centre)
		}
		return nil
	})
	if err == nil {
		s.watch.start(centre, s.requestsIn(centre))
	}
	return err
}

// PutBack publishes a document in which a data centre is no longer taken out.
func (s *Site) PutBack(centre string) error {
	s.watch.stop(centre, s.requestsIn(centre))
	return s.updateDocument(func(doc *document.Document) error {
		if !slices.Contains(doc.TakenOut, centre) {
			return fmt.Errorf("data centre %q is not taken out", centre)
		}
		doc.TakenOut = slices.DeleteFunc(slices.Clone(doc.TakenOut), func(name string) bool { return name == centre })
		return nil
	})
}

// updateDocument publishes an edited copy of the document under the next revision.
func (s *Site) updateDocument(edit func(*document.Document) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.doc
	if err := edit(&next); err != nil {
		return err
	}
	next.Revision++
	s.doc = &next
	return s.publish()
}

// selectLeaves returns the leaves for which keep returns true, and an error that names
// what was selected if there are none.
func (s *Site) selectLeaves(kind, name string, keep func(*leaf) bool) ([]*standin.Leaf, error) {
	var selected []*standin.Leaf
	for _, l := range s.leaves {
		if keep(l) {
			selected = append(selected, l.Leaf)
		}
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%s %q has no leaves", kind, name)
	}
	return selected, nil
}

func (s *Site) leavesIn(centre string) ([]*standin.Leaf, error) {
	return s.selectLeaves("data centre", centre, func(l *leaf) bool { return l.dataCentre == centre })
}

func (s *Site) leavesOf(instance string) ([]*standin.Leaf, error) {
	return s.selectLeaves("instance", instance, func(l *leaf) bool { return l.instance == instance })
}

func crashDataCentre(_ context.Context, s *Site, centre string) error {
	leaves, err := s.leavesIn(centre)
	for _, l := range leaves {
		l.Crash()
	}
	return err
}

func restartDataCentre(_ context.Context, s *Site, centre string) error {
	leaves, err := s.leavesIn(centre)
	if err != nil {
		return err
	}
	for _, l := range leaves {
		if err := l.Restart(); err != nil {
			return err
		}
	}
	return nil
}

func crashInstance(_ context.Context, s *Site, instance string) error {
	leaves, err := s.leavesOf(instance)
	for _, l := range leaves {
		l.CrashFor(crashTime)
	}
	return err
}

func chillInstance(_ context.Context, s *Site, instance string) error {
	leaves, err := s.leavesOf(instance)
	for _, l := range leaves {
		l.MakeCold()
	}
	return err
}

func rolloutService(ctx context.Context, s *Site, service string) error {
	return s.rollOutSnapshot(ctx, service, func(name string, last *standin.Snapshot) *standin.Snapshot {
		return standin.NewPartitionedSnapshot(name, len(last.Entries), last.Bounds)
	})
}

func repartitionService(ctx context.Context, s *Site, service string) error {
	return s.rollOutSnapshot(ctx, service, func(name string, last *standin.Snapshot) *standin.Snapshot {
		bounds := standin.UnequalBounds(len(last.Bounds), s.options.Seed)
		return standin.NewPartitionedSnapshot(name, len(last.Entries), bounds)
	})
}

func (s *Site) rollOutSnapshot(ctx context.Context, service string, next func(name string, last *standin.Snapshot) *standin.Snapshot) error {
	leaves, err := s.selectLeaves("service", service, func(l *leaf) bool { return l.service == service })
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.sequence++
	_, name, _ := strings.Cut(service, "/")
	snapshot := next(fmt.Sprintf("%d-%s", s.sequence, name), s.services[service])
	s.services[service] = snapshot
	s.mu.Unlock()
	return standin.Rollout(ctx, leaves, snapshot, rolloutTime/time.Duration(len(leaves)))
}
