package once

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// state is how far a ticket has come.
type state uint8

const (
	unused state = iota
	running
	done
)

// entry is what a Table keeps of one ticket.
type entry struct {
	ticket Ticket
	state  state
	// bound is set once a request has begun with the ticket; from then on the
	// ticket is only good for the same content.
	bound       bool
	fingerprint Fingerprint
	// sent is set when the first byte of the request may have been sent.
	sent    bool
	outcome Outcome
	// expires is the end of an unused ticket or of a recorded outcome.
	expires time.Duration
	// exported is set when the outcome has been handed over.
	exported bool
}

// expired reports whether the entry is of no use any more. A running request
// does not expire.
func (e *entry) expired(now time.Duration) bool {
	return e.state != running && now >= e.expires
}

// begin decides on a request with the entry's ticket.
func (e *entry) begin(fingerprint Fingerprint) Decision {
	if e.bound && e.fingerprint != fingerprint {
		return Decision{Verdict: Refuse, Kind: kind.BadRequest}
	}
	switch e.state {
	case running:
		return Decision{Verdict: Running, Kind: kind.AlreadyRunning}
	case done:
		return Decision{Verdict: Replay, Outcome: e.outcome}
	}
	e.state = running
	e.bound = true
	e.fingerprint = fingerprint
	return Decision{Verdict: Run}
}

// finish records an outcome. An outcome that is not known yet may become known
// by a late answer; any other stays.
func (e *entry) finish(word Word, outcome Outcome) bool {
	late := e.state == done && e.outcome.Run == kind.RunUnknown && word != NoWord
	if e.state != running && !late {
		return false
	}
	outcome.Run = RunState(e.sent, word)
	e.state = done
	e.outcome = outcome
	e.exported = false
	return true
}
