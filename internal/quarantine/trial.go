package quarantine

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// maxTrials is the greatest number of permits for one suspect.
const maxTrials = 2

// maxNameLength is the space that is reserved for a name, in bytes.
const maxNameLength = 64

// Permit allows to run a suspect once on one target of a shard. It is used for
// one send, which is neither hedged nor retried, while the target runs nothing
// else.
type Permit struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint Fingerprint
	Epoch       uint32
	Number      uint8
	Shard       string
	// Host is the host that gave the permit and waits for its end.
	Host string
}

// Grant is the answer to a request for a permit.
type Grant uint8

// The values of Grant.
const (
	// GrantRefused means that the content stays refused.
	GrantRefused Grant = iota
	// GrantPermit comes with a permit.
	GrantPermit
	// GrantWait means that a trial is running; its end may be waited for.
	GrantWait
	// GrantPass means that the content is not suspect.
	GrantPass
)

// TrialResult is how a trial ended.
type TrialResult uint8

// The values of TrialEnd.
const (
	// TrialUnclear means that the connection was lost or timed out, and the
	// target goes on.
	TrialUnclear TrialResult = iota
	// TrialCompleted means that the target answered.
	TrialCompleted
	// TrialDied means that the target has ended: it refuses connections, or
	// answers with a new incarnation.
	TrialDied
)

// Decider returns the host that gives permits for a content. Hosts with other
// lists may name others, so that each of them counts permits, and records carry
// the count.
func Decider(fingerprint Fingerprint, hosts []string) string {
	return highest(fingerprint, hosts)
}

// StageTarget returns the leaf that a staged request is sent to first. Entries
// that stage the same content at once use the same leaf, so that it crashes one
// target only. The leaves must include those that died less than SettleLimit
// ago; if such a leaf is returned, the request must not go to another one before
// SettleLimit has passed, since the news of the death may name the content.
func StageTarget(fingerprint Fingerprint, leaves []string) string {
	return highest(fingerprint, leaves)
}

// highest returns the name with the highest hash of content and name.
func highest(fingerprint Fingerprint, names []string) string {
	best := ""
	var bestHash [sha256.Size]byte
	input := make([]byte, 0, len(fingerprint)+maxNameLength)
	for _, name := range names {
		input = append(append(input[:0], fingerprint[:]...), name...)
		hash := sha256.Sum256(input)
		if best == "" || bytes.Compare(hash[:], bestHash[:]) > 0 {
			best = name
			bestHash = hash
		}
	}
	return best
}

// RequestPermit decides at the deciding host whether a suspect may run. It takes
// the record of the entry, in case it has not heard of the content, and returns
// its own, which the entry takes over. The record of a granted permit must also
// be spread, before the permit is used.
func (t *Tracker) RequestPermit(now time.Duration, known Record) (Grant, Permit, Record) {
	t.Merge(now, known)
	r := t.live(now, known.Fingerprint)
	if r == nil {
		return GrantPass, Permit{}, Record{}
	}
	grant, permit := t.grant(now, r)
	return grant, permit, r.message(now)
}

// grant decides on a permit for a record.
func (t *Tracker) grant(now time.Duration, r *record) (Grant, Permit) {
	switch {
	case r.State == Cleared:
		return GrantPass, Permit{}
	case r.State == Quarantined:
		return GrantRefused, Permit{}
	case now < r.permitUntil:
		return GrantWait, Permit{}
	}
	if !r.returned || r.granted != r.Trials {
		if r.Trials >= maxTrials {
			return GrantRefused, Permit{}
		}
		r.Trials++
	}
	r.returned = false
	r.granted = r.Trials
	r.permitUntil = now + t.options.PermitPeriod
	permit := Permit{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Number: r.Trials, Shard: r.Shard}
	return GrantPermit, permit
}

// UsePermit decides at the holder of a target, directly before the send,
// whether a suspect may be sent under a permit. Each permit is good for one
// send, and not after a later one has been heard of.
func (t *Tracker) UsePermit(now time.Duration, permit Permit) bool {
	r := t.live(now, permit.Fingerprint)
	if r == nil {
		r = &record{
			Record: Record{Fingerprint: permit.Fingerprint, Epoch: permit.Epoch, State: Suspect, Shard: permit.Shard},
			until:  now + t.options.Period,
		}
		t.insert(now, r)
	}
	if r.State != Suspect || r.Epoch != permit.Epoch || permit.Number <= r.usedPermits || permit.Number < r.Trials {
		return false
	}
	r.usedPermits = permit.Number
	r.Trials = permit.Number
	return true
}

// ReturnPermit makes a permit good for a send again, at the holder that has used it up
// for one that its target has not run.
func (t *Tracker) ReturnPermit(now time.Duration, permit Permit) {
	r := t.live(now, permit.Fingerprint)
	if r != nil && r.Epoch == permit.Epoch && r.usedPermits == permit.Number {
		r.usedPermits--
	}
}

// MaySend decides at the holder of a target, directly before the send, whether
// a request without a permit may be sent.
func (t *Tracker) MaySend(now time.Duration, fingerprint Fingerprint) bool {
	r := t.live(now, fingerprint)
	return r == nil || r.State == Cleared
}

// EndTrial records the end of a trial at the holder and returns the record to
// spread. A suspect that has used up its permits without a clear end stays
// refused.
func (t *Tracker) EndTrial(now time.Duration, permit Permit, end TrialResult) (Record, bool) {
	r := t.live(now, permit.Fingerprint)
	if r == nil || r.Epoch != permit.Epoch || end == TrialUnclear {
		return Record{}, false
	}
	state := Cleared
	if end == TrialDied {
		state = Quarantined
		r.Deaths++
	}
	r.State = max(r.State, state)
	t.extend(now, r)
	return r.message(now), true
}

// EndPermit ends the wait for a trial at the deciding host, when its entry has
// reported that it ended without a clear result. A permit that was not sent
// under may be granted again.
func (t *Tracker) EndPermit(now time.Duration, permit Permit, sent bool) {
	r := t.live(now, permit.Fingerprint)
	if r == nil || r.Epoch != permit.Epoch || r.granted != permit.Number {
		return
	}
	r.permitUntil = now
	r.returned = !sent
}
