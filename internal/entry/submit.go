package entry

import (
	"context"
	"hash/fnv"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Submitter serves requests that are not idempotent: it sends them to one leaf
// of the shard that their key selects, and tries another leaf only after a
// refusal that proves that the request has not run.
type Submitter struct {
	router  Router
	holders Holders
	screen  Screen
}

// NewSubmitter returns a submitter.
func NewSubmitter(router Router, holders Holders, screen Screen) *Submitter {
	return &Submitter{router: router, holders: holders, screen: screen}
}

// Serve is the Handler of requests that are not idempotent.
func (s *Submitter) Serve(ctx context.Context, r *Request) (*Answer, error) {
	answer, err := s.submit(ctx, r)
	if err != nil && r.Permit != nil {
		s.screen.EndPermit(*r.Permit, !notRun(err))
	}
	return answer, err
}

func (s *Submitter) submit(ctx context.Context, r *Request) (*Answer, error) {
	if r.MarkSent != nil && !r.MarkSent() {
		return nil, kind.Errorf(kind.AlreadyRunning, "the request's ticket is no longer valid")
	}
	attempt := 0
	for round := 0; ; round++ {
		answer, err := s.round(ctx, r, &attempt)
		if err == nil || !notRun(err) || !otherHolderMaySucceed(kind.Of(err)) || !waitBackoff(ctx, round) {
			return answer, err
		}
	}
}

// waitBackoff waits before the leaves of a request are tried again. It returns
// false after maxBackoffs rounds, or if ctx ends first.
func waitBackoff(ctx context.Context, round int) bool {
	if round >= maxBackoffs {
		return false
	}
	return periodic.Sleep(ctx, firstBackoff<<round) == nil
}

// round tries each leaf of the request's shard through each of its holders
// until one answers or the request may have run.
func (s *Submitter) round(ctx context.Context, r *Request, attempt *int) (*Answer, error) {
	err := error(kind.Errorf(kind.Unavailable, "no leaf can accept the request"))
	for _, leaf := range s.leaves(r) {
		for _, host := range s.hosts(leaf) {
			*attempt++
			var answer *Answer
			answer, err = s.sendAttempt(ctx, r, host, leaf, *attempt)
			if err == nil {
				return answer, nil
			}
			if !notRun(err) {
				return nil, err
			}
			if ctx.Err() != nil {
				return nil, kind.Errorf(kind.DeadlinePassed, "no leaf accepted the request before its deadline: %w", err)
			}
		}
	}
	return nil, err
}

// hosts returns the holders of a leaf, ordered by rank.
func (s *Submitter) hosts(leaf string) []Host {
	hosts := slices.Clone(s.router.Holders(leaf))
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return holderRank(s.router, a) - holderRank(s.router, b)
	})
	return hosts
}

// leaves returns the replicas of the request's shard that accept work.
func (s *Submitter) leaves(r *Request) []string {
	shards := r.Target.Shards
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Key))
	shard := shards[h.Sum32()%uint32(len(shards))]
	var names []string
	for _, id := range shard.Replicas {
		if entry := r.Index.Leaf(id); entry.AcceptsWork() {
			names = append(names, entry.Name)
		}
	}
	return names
}

// sendAttempt makes one attempt. If the request may have run, the Run of the error
// is not "no".
func (s *Submitter) sendAttempt(ctx context.Context, r *Request, host Host, leaf string, attempt int) (*Answer, error) {
	m := &wire.Scatter{
		RequestID:    r.ID,
		AttemptID:    attemptID(r.ID, attempt),
		Customer:     r.Customer,
		Service:      r.Service,
		Class:        r.Class,
		BudgetMicros: budgetMicros(r),
		Fingerprint:  r.Fingerprint,
		Permit:       r.Permit,
		Known:        s.screen.Known(r.Fingerprint),
		Body:         r.Body,
		Leaves:       []string{leaf},
	}
	var receiver singleResult
	err := s.holders.Scatter(ctx, host, m, &receiver)
	result := receiver.result
	if result == nil && err == nil {
		err = noResultError(host)
	}
	if result == nil {
		return nil, submitError(streamError(err))
	}
	if result.RequestID != r.ID || result.Leaf != leaf {
		return nil, kind.Errorf(kind.OutcomeUnknown, "holder %q returned the result of another request", host.Name)
	}
	if result.Kind != "" {
		return nil, submitError(resultError(result))
	}
	return &Answer{Leaf: leaf, Body: result.Body}, nil
}

// singleResult receives the result of a single leaf call.
type singleResult struct {
	result *wire.LeafResult
}

// Started implements Receiver.
func (s *singleResult) Started(func(leaf string)) {}

// Result implements Receiver.
func (s *singleResult) Result(r *wire.LeafResult) { s.result = r }

// noResultError is the error of a call whose holder ended its answers without a result.
func noResultError(host Host) error {
	return kind.Errorf(kind.OutcomeUnknown, "holder %q returned no result", host.Name)
}

// submitError returns err if it proves that the request has not run, and an error
// of kind OutcomeUnknown otherwise.
func submitError(err error) error {
	if notRun(err) {
		return err
	}
	return kind.Errorf(kind.OutcomeUnknown, "%w", err)
}

func notRun(err error) bool {
	return kind.RunOf(err) == kind.RunNo
}
