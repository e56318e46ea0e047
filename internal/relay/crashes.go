package relay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	// crashRecordTTL is how long the crash record of a content is kept after its last update:
	// the end of a leaf's process, a clearance, a trial, or a record of another node.
	crashRecordTTL = time.Hour
	// maxCrashRecords bounds the number of crash records; a record takes about 500 bytes.
	maxCrashRecords = 1024
	// trialDecisionTimeout bounds the wait for the node that decides on trials.
	trialDecisionTimeout = 100 * time.Millisecond
	// maxConcurrentChecks bounds the concurrent checks of one leaf; each looks for
	// connections that were open when it began.
	maxConcurrentChecks = 3
	// observeInterval is the minimum time between two observations of the starts of leaves. A leaf that
	// has ended takes longer to start again.
	observeInterval = 500 * time.Millisecond
	// crashCheckTimeout bounds a check of whether the process of a leaf has ended.
	crashCheckTimeout = 3 * time.Second
)

// MergeCrashes merges the crash records of another node. It returns the corrections to send back.
func (h *Handler) MergeCrashes(list []quarantine.CrashRecord) []quarantine.CrashRecord {
	if len(list) > 0 {
		h.observeStarts()
	}
	var corrections []quarantine.CrashRecord
	for i := range list {
		before, after, correction := h.crashes.Merge(h.services.now(), &list[i])
		if correction != nil {
			corrections = append(corrections, *correction)
		}
		h.logMerge(&list[i], before, after)
	}
	return corrections
}

// MergeCorrections merges the corrections of crash records that this node has sent.
func (h *Handler) MergeCorrections(list []quarantine.CrashRecord) {
	for i := range list {
		before, after := h.crashes.MergeCorrection(h.services.now(), &list[i])
		h.logMerge(&list[i], before, after)
	}
	if len(list) > 0 {
		h.options.PublishCrashes()
	}
}

func (h *Handler) logMerge(record *quarantine.CrashRecord, before, after int) {
	if before != after {
		h.log.Note("crash record received from a peer", "", zap.Binary("content", record.Fingerprint[:]),
			zap.Int("ends_before", before), zap.Int("ends", after), zap.Uint8("trials", record.Trials))
	}
}

// CrashUpdates returns the crash records that must be sent to the other nodes.
func (h *Handler) CrashUpdates() []quarantine.CrashRecord { return h.crashes.Updates(h.services.now()) }

// Crashes returns the crash records that a starting node needs.
func (h *Handler) Crashes() []quarantine.CrashRecord { return h.crashes.Records(h.services.now()) }

// admit refuses a quarantined content, except for trials. A content is quarantined when several
// leaf processes in a row have ended without answering it.
func (h *Handler) admit(ctx context.Context, r *request) error {
	if h.options.SyncingCrashes() {
		return kind.Errorf(kind.NoConfiguration, "crash records have not been received from the peers yet")
	}
	now := h.services.now()
	if h.crashes.Empty(now) {
		return nil
	}
	f := r.contentFingerprint()
	switch h.crashes.Admit(now, f, h.recordsMayLackEnds(now, r)) {
	case quarantine.Pass:
		return nil
	case quarantine.Trial:
		r.trial = h.requestTrial(ctx, r.id, f)
	}
	ends := h.crashes.Count(now, f)
	if r.trial {
		h.log.Note("content sent on trial", r.id, zap.Binary("content", f[:]), zap.Int("ends", ends))
		return nil
	}
	return kind.WithRun(kind.Errorf(kind.Quarantined, "content is quarantined: %d leaves in a row ended without answering it", ends), kind.RunNo)
}

// recordsMayLackEnds reports whether the crash records may lack ends of leaves that a request can reach, as
// after a loss of all nodes.
func (h *Handler) recordsMayLackEnds(now time.Duration, r *request) bool {
	services := slices.Clone(r.route.Shards)
	for _, s := range r.route.WeightedServices {
		services = append(services, s.Service)
	}
	return h.crashes.MayLackEnds(now, services)
}

// observeStarts records which leaves have started again, at most once in observeInterval. It is called when
// leaves end, since their entries are replaced when they have started once more.
func (h *Handler) observeStarts() {
	now := h.services.now()
	last := h.startsObservedAt.Load()
	if last > 0 && int64(now)-last < int64(observeInterval) || !h.startsObservedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	ages := map[string][]time.Duration{}
	for service, leaves := range h.catalog.View().Leaves {
		for _, leaf := range leaves {
			// A leaf that does not tell when it started is left out.
			if leaf.Started > 0 {
				ages[service] = append(ages[service], time.Since(time.UnixMilli(leaf.Started)))
			}
		}
	}
	if found := h.crashes.ObserveStarts(now, ages); found > 0 {
		h.log.Note("leaves have started again before the crash records begin", "", zap.Int("services", found),
			zap.Duration("reach", h.crashes.Reach(now).Since))
	}
}

// CrashReach returns how far back the crash records reach.
func (h *Handler) CrashReach() quarantine.Reach { return h.crashes.Reach(h.services.now()) }

// ExtendCrashReach records how far back the crash records of another node reach, which have been merged.
func (h *Handler) ExtendCrashReach(r quarantine.Reach) {
	h.crashes.ExtendReach(h.services.now(), r)
}

// trialDeciderKey selects the node that decides on all trials.
var trialDeciderKey = quarantine.FingerprintOf("", "", "", []byte("trials"))

// requestTrial asks the node that decides on trials whether a content may be sent once.
func (h *Handler) requestTrial(ctx context.Context, id string, f quarantine.Fingerprint) bool {
	all := &h.services.fleet.Load().All
	decider := quarantine.Decider(trialDeciderKey, all.Names)
	if decider == all.Self {
		return h.GrantTrial(f)
	}
	ctx, cancel := context.WithTimeout(ctx, trialDecisionTimeout)
	defer cancel()
	granted, err := h.options.RequestTrial(ctx, decider, f)
	if err != nil {
		h.log.Note("trial request failed", id, zap.String("peer", decider), zap.Error(err))
	}
	return granted
}

// GrantTrial decides whether a quarantined content may be sent once. It grants no trial if
// another node decides on trials, or if this node may not know all of its peers yet.
func (h *Handler) GrantTrial(f quarantine.Fingerprint) bool {
	all := &h.services.fleet.Load().All
	if !h.services.peersKnown.Load() || quarantine.Decider(trialDeciderKey, all.Names) != all.Self {
		return false
	}
	granted := h.crashes.GrantTrial(h.services.now(), f)
	if granted {
		h.options.PublishCrashes()
	}
	return granted
}

// returnUnusedTrial returns a granted trial that no leaf can have run.
func (h *Handler) returnUnusedTrial(q *query, err error) {
	if !q.request.trial || err == nil || kind.RunOf(err) != kind.RunNo {
		return
	}
	h.crashes.ReturnTrial(h.services.now(), q.request.contentFingerprint())
	h.options.PublishCrashes()
}

// trialStages divides the calls of a query. A trial goes first to the services because of which
// its content is quarantined, and to the others once these have answered, so that no other leaf
// runs a content that crashes leaves.
func (q *query) trialStages() (first, rest []*call) {
	if !q.request.trial {
		return q.calls, nil
	}
	h := q.handler
	suspects := h.crashes.Suspects(h.services.now(), q.request.contentFingerprint())
	for _, c := range q.calls {
		if slices.Contains(suspects, c.service) {
			first = append(first, c)
		} else {
			rest = append(rest, c)
		}
	}
	if len(first) == 0 {
		return rest, nil
	}
	return first, rest
}

// contentFingerprint returns the fingerprint of the request's content. It includes the caller's
// credentials, since the same bytes may cause different work for callers with other credentials.
func (r *request) contentFingerprint() quarantine.Fingerprint {
	if r.fingerprint == nil {
		// Hosts and header values contain no line break, so it separates them unambiguously.
		caller := r.host + "\n" + r.header.Get("Authorization")
		f := quarantine.FingerprintOf(caller, r.uri, r.method, r.body)
		r.fingerprint = &f
	}
	return *r.fingerprint
}

// mayRepeat reports whether the request may be sent to more leaves, as a retry or a hedge.
func (q *query) mayRepeat() bool {
	h := q.handler
	now := h.services.now()
	return h.crashes.Empty(now) ||
		h.crashes.MayRepeat(now, q.request.contentFingerprint(), h.recordsMayLackEnds(now, q.request))
}

// recordAnswer clears the content of an attempt that a leaf has answered: earlier crashes in that
// service no longer count against it.
func (h *Handler) recordAnswer(r *request, a *attempt) {
	f := a.contentFingerprint
	a.serviceState.clearContent(f)
	now := h.services.now()
	before := h.crashes.RecordAnswer(now, f, a.call.service)
	if h.crashes.Empty(now) {
		return
	}
	after := h.crashes.Count(now, f)
	if before == after {
		return
	}
	h.log.Note("content cleared of suspicion", r.id, zap.Binary("content", f[:]), zap.String("service", a.call.service),
		zap.String("leaf", a.pick.ID), zap.Int("ends_before", before), zap.Int("ends", after))
	h.options.PublishCrashes()
}

// recordCrash records the end of a leaf's process against the contents that the leaf had not
// answered.
func (h *Handler) recordCrash(service string, leaf catalog.Process, proof string, contents []quarantine.SentContent) {
	h.observeStarts()
	now := h.services.now()
	target := fmt.Sprintf("%s/%d", leaf.ID, leaf.Started)
	for _, s := range contents {
		callEnd := s.CallEnded
		if callEnd == 0 {
			callEnd = now
		}
		end := quarantine.ProcessEnd{Service: service, Target: target, Received: s.Received, Sent: s.SentAt, Ended: callEnd, EndedBy: now}
		if s.ConnLost {
			end.EndedBy = callEnd
		}
		ends := h.crashes.RecordEnd(now, s.Fingerprint, end)
		h.log.Note("leaf ended without answering content", "", zap.Binary("content", s.Fingerprint[:]), zap.String("service", service),
			zap.String("leaf", leaf.ID), zap.String("proof", proof), zap.Int("ends", ends),
			zap.Duration("sent_before", now-s.SentAt), zap.Bool("waiting", s.CallEnded == 0))
	}
	if len(contents) > 0 {
		h.options.PublishCrashes()
	}
}

// sendRecord adds and returns the record of a content that is about to be sent to a leaf.
func (s *serviceState) sendRecord(p *leafPool, r *request, f quarantine.Fingerprint) *quarantine.SentContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.unanswered.Add(s.owner.now(), r.received.Sub(s.owner.start), f)
}

// recordCallEnd records the end of a call. suspect is set if the leaf may still run the content
// or may have crashed on it; the content then stays on record. connLost is set if the connection
// was lost.
func (s *serviceState) recordCallEnd(p *leafPool, sent *quarantine.SentContent, suspect, connLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspect {
		sent.CallEnded, sent.ConnLost = s.owner.now(), connLost
		return
	}
	p.unanswered.Remove(sent)
}

// clearContent clears the content at all leaves of the service, since one of them has answered
// it.
func (s *serviceState) clearContent(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.unanswered.Clear(f)
	}
}

// checkCrash checks whether the process of a leaf has ended, after one of its connections was
// lost. sentAt is when the call that was lost with the connection was sent; it is zero if the
// connection was idle.
func (s *serviceState) checkCrash(p *leafPool, sentAt time.Time) {
	s.mu.Lock()
	if p.runningChecks == maxConcurrentChecks || p.unanswered.Empty(s.owner.now()) {
		s.mu.Unlock()
		return
	}
	p.runningChecks++
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	state := p.pool.Check(ctx, sentAt)
	s.mu.Lock()
	p.runningChecks--
	s.mu.Unlock()
	if state == leafconn.Refuses || state == leafconn.Restarted {
		s.reportCrash(p, state.String())
	}
}

// reportCrash reports that the process of a leaf has ended, unless the leaf was draining or
// leaving, or has no unanswered contents.
func (s *serviceState) reportCrash(p *leafPool, proof string) {
	s.mu.Lock()
	contents, entry := p.unanswered.TakeSuspects(s.owner.now()), p.entry
	s.mu.Unlock()
	if entry.Draining || len(contents) == 0 || s.owner.departures.has(p.process) {
		return
	}
	s.owner.onCrash(s.name, p.process, proof, contents)
}
