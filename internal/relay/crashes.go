package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	// crashPeriod is how long a content is remembered after the last leaf that ended
	// under it, or the last trial.
	crashPeriod = time.Hour
	// maxCrashes bounds the contents that are remembered; a record takes some 500
	// bytes.
	maxCrashes = 1024
	// trialWait bounds the wait for the node that decides on a trial.
	trialWait = 100 * time.Millisecond
	// maxChecks bounds the checks of one leaf beside each other; each looks for connections
	// that were open when it began.
	maxChecks = 3
	// checkTimeout bounds the time in which it is found out if a leaf has ended.
	checkTimeout = 3 * time.Second
)

// MergeCrashes takes what another node knows of contents under which leaves have ended.
func (h *Handler) MergeCrashes(list []quarantine.Evidence) {
	for i := range list {
		before, after := h.crashes.Merge(h.backends.now(), &list[i])
		if before == after {
			continue
		}
		h.log.Note("content known from a peer", "", zap.Binary("content", list[i].Fingerprint[:]),
			zap.Int("ends_before", before), zap.Int("ends", after), zap.Uint8("trials", list[i].Trials))
	}
}

// CrashUpdates returns what other nodes have to hear of contents under which leaves have
// ended, and Crashes what a node that starts has to.
func (h *Handler) CrashUpdates() []quarantine.Evidence { return h.crashes.News(h.backends.now()) }

// Crashes returns the contents under which leaves have ended.
func (h *Handler) Crashes() []quarantine.Evidence { return h.crashes.All(h.backends.now()) }

// admit refuses a content under which leaves have ended one after the other, but for trials.
func (h *Handler) admit(ctx context.Context, r *request) error {
	if h.options.SyncingCrashes() {
		return kind.Errorf(kind.NoConfiguration, "the peers have not told yet under which contents leaves have ended")
	}
	now := h.backends.now()
	if h.crashes.Empty(now) {
		return nil
	}
	f := r.content()
	switch h.crashes.Admit(now, f) {
	case quarantine.Pass:
		return nil
	case quarantine.Trial:
		r.trial = h.mayTry(ctx, r.id, f)
	}
	ends := h.crashes.Count(now, f)
	if r.trial {
		h.log.Note("content sent on trial", r.id, zap.Binary("content", f[:]), zap.Int("ends", ends))
		return nil
	}
	return kind.WithRun(kind.Errorf(kind.Quarantined, "%d leaves have ended one after the other under this content", ends), kind.RunNo)
}

// trials is what names the node that decides on all trials.
var trials = quarantine.FingerprintOf("", "", "", []byte("trials"))

// mayTry asks the node that decides on trials for one.
func (h *Handler) mayTry(ctx context.Context, id string, f quarantine.Fingerprint) bool {
	all := &h.backends.fleet.Load().All
	decider := quarantine.Decider(trials, all.Names)
	if decider == all.Self {
		return h.GrantTrial(f)
	}
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	granted, err := h.options.RequestTrial(ctx, decider, f)
	if err != nil {
		h.log.Note("no decision on a trial", id, zap.String("peer", decider), zap.Error(err))
	}
	return granted
}

// GrantTrial decides on a trial of a content. A node that may not know of all others yet
// grants none.
func (h *Handler) GrantTrial(f quarantine.Fingerprint) bool {
	all := &h.backends.fleet.Load().All
	if !h.backends.settled.Load() || quarantine.Decider(trials, all.Names) != all.Self {
		return false
	}
	granted := h.crashes.GrantTrial(h.backends.now(), f)
	if granted {
		h.options.PublishCrashes()
	}
	return granted
}

// endTrial gives a trial back that no leaf can have run.
func (h *Handler) endTrial(q *query, err error) {
	if !q.request.trial || err == nil || kind.RunOf(err) != kind.RunNo {
		return
	}
	h.crashes.ReturnTrial(h.backends.now(), q.request.content())
	h.options.PublishCrashes()
}

// content returns the fingerprint of the request's content. Callers with other credentials
// may get other work done by the same bytes, so that these are part of it.
func (r *request) content() quarantine.Fingerprint {
	if r.fingerprint == nil {
		// A line break stands in no host and in no header, so that it separates them.
		caller := r.host + "\n" + r.header.Get("Authorization")
		f := quarantine.FingerprintOf(caller, r.uri, r.method, r.body)
		r.fingerprint = &f
	}
	return *r.fingerprint
}

// mayRepeat reports whether the request may be sent to further leaves.
func (q *query) mayRepeat() bool {
	h := q.handler
	now := h.backends.now()
	return h.crashes.Empty(now) || h.crashes.MayRepeat(now, q.request.content())
}

// answered acquits the content of an attempt that a leaf has answered.
func (h *Handler) answered(r *request, a *attempt) {
	f := a.content
	a.backend.acquit(f)
	now := h.backends.now()
	if h.crashes.Empty(now) {
		return
	}
	before := h.crashes.Answered(now, f, a.call.service)
	after := h.crashes.Count(now, f)
	if before == after {
		return
	}
	h.log.Note("content acquitted", r.id, zap.Binary("content", f[:]), zap.String("service", a.call.service),
		zap.String("leaf", a.pick.ID), zap.Int("ends_before", before), zap.Int("ends", after))
	h.options.PublishCrashes()
}

// leafEnded charges the contents that a leaf had to run with its end.
func (h *Handler) leafEnded(service, leaf, proof string, contents []quarantine.Sent) {
	now := h.backends.now()
	for _, s := range contents {
		over := s.Over
		if over == 0 {
			over = now
		}
		ends := h.crashes.Ended(now, s.Fingerprint, service, s.Came, over)
		h.log.Note("leaf ended under a content", "", zap.Binary("content", s.Fingerprint[:]), zap.String("service", service),
			zap.String("leaf", leaf), zap.String("proof", proof), zap.Int("ends", ends),
			zap.Duration("sent_before", now-s.At), zap.Bool("waiting", s.Over == 0))
	}
	if len(contents) > 0 {
		h.options.PublishCrashes()
	}
}

// sent notes that a content is about to be sent to a leaf.
func (s *backend) sent(p *leafPool, r *request, f quarantine.Fingerprint) *quarantine.Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.unanswered.Add(s.owner.now(), r.received.Sub(s.owner.start), f)
}

// over notes the end of a call. One that the leaf may still run, or has ended under, stays
// suspect.
func (s *backend) over(p *leafPool, sent *quarantine.Sent, suspect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspect {
		sent.Over = s.owner.now()
		return
	}
	p.unanswered.Remove(sent)
}

// acquit forgets the calls of a content that the service's leaves have not answered, since
// one of them has.
func (s *backend) acquit(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.unanswered.Acquit(f)
	}
}

// check finds out if a leaf has ended, after one of its connections has. since is when a call
// was sent that was lost with it; zero if the connection was idle.
func (s *backend) check(p *leafPool, since time.Time) {
	s.mu.Lock()
	if p.checks == maxChecks || p.unanswered.Empty(s.owner.now()) {
		s.mu.Unlock()
		return
	}
	p.checks++
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	life := p.pool.Check(ctx, since)
	s.mu.Lock()
	p.checks--
	s.mu.Unlock()
	if life == leafconn.Refuses || life == leafconn.Restarted {
		s.ended(p, life.String())
	}
}

// ended tells that the process of a leaf has ended.
func (s *backend) ended(p *leafPool, proof string) {
	s.mu.Lock()
	contents, entry := p.unanswered.Ended(s.owner.now()), p.entry
	s.mu.Unlock()
	if entry.Draining || len(contents) == 0 {
		return
	}
	s.owner.onEnded(s.name, entry.ID, proof, contents)
}
