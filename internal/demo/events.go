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
	// crashTime is how long a crashed leaf is down.
	crashTime = 2 * time.Second
	// rolloutTime is how long it takes to give all leaves a new snapshot.
	rolloutTime = 2 * time.Second
)

// Event is one change of the site during an experiment.
type Event struct {
	// At is the time since the measured part began.
	At       time.Duration
	Action   string
	Argument string
}

// String formats the event as ParseEvent reads it.
func (e Event) String() string { return fmt.Sprintf("%v:%s=%s", e.At, e.Action, e.Argument) }

// action is one kind of event.
type action struct {
	name string
	help string
	run  func(ctx context.Context, s *Site, argument string) error
}

var actions = []action{
	{"out", "operators take a data centre out", func(_ context.Context, s *Site, arg string) error { return s.TakeOut(arg) }},
	{"in", "operators take a data centre back", func(_ context.Context, s *Site, arg string) error { return s.Return(arg) }},
	{"lose", "all leaves of a data centre crash and stay down", lose},
	{"restore", "the leaves of a lost data centre restart cold", restore},
	{"crash", "the leaves of an instance crash and restart cold after 2s", crash},
	{"chill", "the leaves of an instance turn cold", chill},
	{"rollout", "a service (CUSTOMER/SERVICE) gets a new snapshot, leaf by leaf", rollout},
	{"repartition", "as rollout, with other key ranges", repartition},
}

// ActionHelp returns one line for each kind of event.
func ActionHelp() string {
	var b strings.Builder
	for _, a := range actions {
		fmt.Fprintf(&b, "  %-12s %s\n", a.name, a.help)
	}
	return b.String()
}

// ParseEvent reads an event such as "10s:out=madina".
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

// Apply makes the change of an event.
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
	err := s.change(func(doc *document.Document) error {
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
		s.outs.out(centre, s.requestsIn(centre))
	}
	return err
}

// Return publishes a document in which a data centre is not taken out.
func (s *Site) Return(centre string) error {
	s.outs.in(centre, s.requestsIn(centre))
	return s.change(func(doc *document.Document) error {
		if !slices.Contains(doc.TakenOut, centre) {
			return fmt.Errorf("data centre %q is not taken out", centre)
		}
		doc.TakenOut = slices.DeleteFunc(slices.Clone(doc.TakenOut), func(name string) bool { return name == centre })
		return nil
	})
}

// change publishes a changed copy of the document under the next revision.
func (s *Site) change(edit func(*document.Document) error) error {
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

// selectLeaves returns the leaves for which keep reports true.
func (s *Site) selectLeaves(what, name string, keep func(*leaf) bool) ([]*standin.Leaf, error) {
	var selected []*standin.Leaf
	for _, l := range s.leaves {
		if keep(l) {
			selected = append(selected, l.Leaf)
		}
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%s %q has no leaves", what, name)
	}
	return selected, nil
}

func (s *Site) leavesIn(centre string) ([]*standin.Leaf, error) {
	return s.selectLeaves("data centre", centre, func(l *leaf) bool { return l.dataCentre == centre })
}

func (s *Site) leavesOf(instance string) ([]*standin.Leaf, error) {
	return s.selectLeaves("instance", instance, func(l *leaf) bool { return l.instance == instance })
}

func lose(_ context.Context, s *Site, centre string) error {
	leaves, err := s.leavesIn(centre)
	for _, l := range leaves {
		l.Crash()
	}
	return err
}

func restore(_ context.Context, s *Site, centre string) error {
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

func crash(_ context.Context, s *Site, instance string) error {
	leaves, err := s.leavesOf(instance)
	for _, l := range leaves {
		l.CrashFor(crashTime)
	}
	return err
}

func chill(_ context.Context, s *Site, instance string) error {
	leaves, err := s.leavesOf(instance)
	for _, l := range leaves {
		l.MakeCold()
	}
	return err
}

func rollout(ctx context.Context, s *Site, service string) error {
	return s.rollOut(ctx, service, func(name string, last *standin.Snapshot) *standin.Snapshot {
		return standin.NewPartitionedSnapshot(name, len(last.Entries), last.Bounds)
	})
}

func repartition(ctx context.Context, s *Site, service string) error {
	return s.rollOut(ctx, service, func(name string, last *standin.Snapshot) *standin.Snapshot {
		bounds := standin.UnequalBounds(len(last.Bounds), s.options.Seed)
		return standin.NewPartitionedSnapshot(name, len(last.Entries), bounds)
	})
}

func (s *Site) rollOut(ctx context.Context, service string, next func(name string, last *standin.Snapshot) *standin.Snapshot) error {
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
