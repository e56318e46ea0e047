package quarantine

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// maxTrials bounds the permits that are granted for a suspect content in one epoch.
const maxTrials = 2

// nameLengthHint is the initial buffer space for a name, in bytes.
const nameLengthHint = 64

// Permit allows a host to run a suspect content once, on one target of a shard. It
// covers a single send, which is neither hedged nor retried, while the target runs
// nothing else.
type Permit struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint Fingerprint
	Epoch       uint32
	Number      uint8
	Shard       string
	// Host is the host that granted the permit and waits for the end of its trial.
	Host string
}

// Grant is the answer to a request for a permit.
type Grant uint8

// The answers to a request for a permit.
const (
	// GrantRefused means that no permit is granted and the request must be refused.
	GrantRefused Grant = iota
	// GrantPermit means that the answer carries a permit.
	GrantPermit
	// GrantWait means that a trial is running; the request may wait for its end.
	GrantWait
	// GrantPass means that the content is not suspect.
	GrantPass
)

// TrialResult is the result of a trial.
type TrialResult uint8

// The results of a trial.
const (
	// TrialInconclusive means that the connection was lost or timed out, and that the
	// target is still running.
	TrialInconclusive TrialResult = iota
	// TrialCompleted means that the target answered.
	TrialCompleted
	// TrialDied means that the target process has ended: the target refuses
	// connections, or answers with a new incarnation.
	TrialDied
)

// Decider returns the host that grants permits for a content. Hosts with different
// host lists may get different results, so each host counts the permits that it
// grants, and the records carry the count.
func Decider(fingerprint Fingerprint, hosts []string) string {
	return highestHash(fingerprint, hosts)
}

// StageTarget returns the leaf that a staged request is sent to first. Entries that
// stage the same content at the same time use the same leaf, so that the content
// crashes one target only. The leaves must include those that died less than
// SettleLimit ago. If such a leaf is returned, the request must not be sent to
// another leaf before SettleLimit has passed, since the content may be among those
// whose records have yet to arrive.
func StageTarget(fingerprint Fingerprint, leaves []string) string {
	return highestHash(fingerprint, leaves)
}

// highestHash returns the name with the highest hash of content and name (rendezvous
// hashing), or "" if there are no names.
func highestHash(fingerprint Fingerprint, names []string) string {
	best := ""
	var bestHash [sha256.Size]byte
	input := make([]byte, 0, len(fingerprint)+nameLengthHint)
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

// RequestPermit decides, at the deciding host, whether a suspect content may run. It
// first merges the entry's record, which this host may lack. It returns its own
// record, which the entry must merge. If a permit is granted, the record must also be
// sent to all hosts before the permit is used.
func (t *Tracker) RequestPermit(now time.Duration, known Record) (Grant, Permit, Record) {
	t.Merge(now, known)
	r := t.lookup(now, known.Fingerprint)
	if r == nil {
		return GrantPass, Permit{}, Record{}
	}
	grant, permit := t.grant(now, r)
	return grant, permit, r.message(now)
}

// grant decides whether to grant a permit for the content of a record. A permit under
// which nothing was sent is granted again under the same number.
func (t *Tracker) grant(now time.Duration, r *record) (Grant, Permit) {
	switch {
	case r.State == Cleared:
		return GrantPass, Permit{}
	case r.State == Quarantined:
		return GrantRefused, Permit{}
	case now < r.permitUntil:
		return GrantWait, Permit{}
	}
	if !r.grantUnused || r.lastGranted != r.Trials {
		if r.Trials >= maxTrials {
			return GrantRefused, Permit{}
		}
		r.Trials++
	}
	r.grantUnused = false
	r.lastGranted = r.Trials
	r.permitUntil = now + t.options.PermitTimeout
	permit := Permit{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Number: r.Trials, Shard: r.Shard}
	return GrantPermit, permit
}

// UsePermit decides, at the holder of a target and directly before the send, whether
// a suspect content may be sent under a permit. Each permit allows one send, and none
// once a later permit is known here.
func (t *Tracker) UsePermit(now time.Duration, permit Permit) bool {
	r := t.lookup(now, permit.Fingerprint)
	if r == nil {
		r = &record{
			Record:    Record{Fingerprint: permit.Fingerprint, Epoch: permit.Epoch, State: Suspect, Shard: permit.Shard},
			expiresAt: now + t.options.QuarantinePeriod,
		}
		t.insert(now, r)
	}
	if r.State != Suspect || r.Epoch != permit.Epoch || permit.Number <= r.highestUsed || permit.Number < r.Trials {
		return false
	}
	r.highestUsed = permit.Number
	r.Trials = permit.Number
	return true
}

// ReturnPermit allows another send under a used permit, at the holder that used it for
// a send that the target has not run.
func (t *Tracker) ReturnPermit(now time.Duration, permit Permit) {
	r := t.lookup(now, permit.Fingerprint)
	if r != nil && r.Epoch == permit.Epoch && r.highestUsed == permit.Number {
		r.highestUsed--
	}
}

// MaySend decides, at the holder of a target and directly before the send, whether a
// request without a permit may be sent.
func (t *Tracker) MaySend(now time.Duration, fingerprint Fingerprint) bool {
	r := t.lookup(now, fingerprint)
	return r == nil || r.State == Cleared
}

// EndTrial records the result of a trial at the holder. It returns the record to send
// to all hosts, or false if the result is inconclusive or the permit is out of date. A
// suspect content that has used up its permits without a conclusive result stays
// refused.
func (t *Tracker) EndTrial(now time.Duration, permit Permit, result TrialResult) (Record, bool) {
	r := t.lookup(now, permit.Fingerprint)
	if r == nil || r.Epoch != permit.Epoch || result == TrialInconclusive {
		return Record{}, false
	}
	state := Cleared
	if result == TrialDied {
		state = Quarantined
		r.Deaths++
	}
	r.State = max(r.State, state)
	t.resetExpiry(now, r)
	return r.message(now), true
}

// EndPermit ends the wait for a trial at the deciding host, after the entry has
// reported that the trial ended. sent is false if nothing was sent under the permit,
// which may then be granted again.
func (t *Tracker) EndPermit(now time.Duration, permit Permit, sent bool) {
	r := t.lookup(now, permit.Fingerprint)
	if r == nil || r.Epoch != permit.Epoch || r.lastGranted != permit.Number {
		return
	}
	r.permitUntil = now
	r.grantUnused = !sent
}
