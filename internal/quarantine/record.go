// Package quarantine limits how many targets one request can crash.
//
// The content of a request that was running on a target when the target died is
// suspect. Suspect content is sent only on trial: to one target, which runs nothing
// else, under a permit from the host that decides on the content. It is sent to other
// targets only after it has completed there. If the target of the trial dies, the
// content is refused for a period.
//
// Crashes implements a different rule, for entries that send requests to targets
// themselves: a content is refused, except for a few trials, once several target
// processes in a row have ended without answering it.
//
// The package does no I/O and reads no clock: callers pass the monotonic time in. A
// Tracker must be used under its caller's lock; Crashes has its own lock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(customer, service, method string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range []string{customer, service, method} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(body)
	var sum [sha256.Size]byte
	hash.Sum(sum[:0])
	return Fingerprint(sum[:len(Fingerprint{})])
}

// State is the state of a content. Of two records of the same epoch, the one with the
// higher state takes precedence.
type State uint8

// The states of a content.
const (
	// Suspect content was running on a target that died.
	Suspect State = iota + 1
	// Cleared content has completed alone on a target, or an operator has released it.
	Cleared
	// Quarantined content was running alone on a target that died.
	Quarantined
)

// Record is the state of one content as hosts exchange it.
type Record struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint Fingerprint
	// Epoch grows when a cleared content becomes suspect again, when a quarantine
	// ends, and when an operator releases the content. A record of a higher epoch
	// replaces one of a lower epoch.
	Epoch uint32
	State State
	// Trials is the number of permits granted for running the content alone.
	Trials uint8
	// Deaths is the number of targets that died while running the content.
	Deaths uint16
	// Shard is a shard in which a target died. Trials run there, since a request
	// may crash the targets of one shard only.
	Shard string
	// Remaining is the time until the record expires.
	Remaining time.Duration
}

// record is a Record as a Tracker stores it.
type record struct {
	Record
	expiresAt time.Duration
	// permitUntil is when the last permit that this host granted ends.
	permitUntil time.Duration
	// lastGranted is the number of the last permit that this host granted.
	lastGranted uint8
	// grantUnused is set if nothing was sent under that permit.
	grantUnused bool
	// highestUsed is the number of the highest permit under which this host has
	// sent the content to a target.
	highestUsed uint8
}

// merge merges other into r and reports whether r changed.
func (r *record) merge(other *Record) bool {
	if other.Epoch < r.Epoch {
		return false
	}
	if other.Epoch > r.Epoch {
		r.Record = *other
		r.highestUsed = 0
		r.lastGranted = 0
		r.grantUnused = false
		r.permitUntil = 0
		return true
	}
	before := r.Record
	r.State = max(r.State, other.State)
	r.Trials = max(r.Trials, other.Trials)
	r.Deaths = max(r.Deaths, other.Deaths)
	if r.Shard == "" || (other.Shard != "" && other.Shard < r.Shard) {
		r.Shard = other.Shard
	}
	return r.Record != before
}
