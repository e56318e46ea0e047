package once

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// state is the state of a ticket.
type state uint8

const (
	unused state = iota
	running
	done
)

// entry is the record of one ticket in a Table.
type entry struct {
	ticket Ticket
	state  state
	// begun is set once a request has begun with the ticket. From then on the
	// ticket is valid only for the same content.
	begun       bool
	fingerprint Fingerprint
	// sent is set when the first byte of the request may have been sent.
	sent    bool
	outcome Outcome
	// expires is the time at which an unused ticket or a recorded outcome expires.
	expires time.Duration
	// exported is set when the outcome has been handed over.
	exported bool
}

// expired reports whether the entry has expired. A running request does not
// expire.
func (e *entry) expired(now time.Duration) bool {
	return e.state != running && now >= e.expires
}

// begin decides on a request with the entry's ticket.
func (e *entry) begin(fingerprint Fingerprint) Decision {
	if e.begun && e.fingerprint != fingerprint {
		return Decision{Verdict: Refuse, Kind: kind.BadRequest}
	}
	switch e.state {
	case running:
		return Decision{Verdict: Running, Kind: kind.AlreadyRunning}
	case done:
		return Decision{Verdict: Replay, Outcome: e.outcome}
	}
	e.state = running
	e.begun = true
	e.fingerprint = fingerprint
	return Decision{Verdict: Run}
}

// finish records the outcome of a running request. A late report of the target
// replaces an unknown outcome; any other outcome stays, and finish returns false.
func (e *entry) finish(report TargetReport, outcome Outcome) bool {
	late := e.state == done && e.outcome.Run == kind.RunUnknown && report != NoReport
	if e.state != running && !late {
		return false
	}
	outcome.Run = RunState(e.sent, report)
	e.state = done
	e.outcome = outcome
	e.exported = false
	return true
}
