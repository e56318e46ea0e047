// Package kind defines the closed list of error kinds and the table that maps
// each kind to the answer a caller receives.
package kind

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind names one class of failure. The zero value is Internal.
type Kind uint8

// The closed list of error kinds.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	UnknownCustomer
	UnknownService
	DeadlinePassed
	DeadlineExceeded
	Overloaded
	NoConfiguration
	Stopping
	Unavailable
	NotHolder
	LeafCold
	LeafLeaving
	LeafShed
	SnapshotNotHeld
	ConnectFailed
	ConnectionLost
	BadAnswer
	Canceled
	Quarantined
	CoverageTooLow
	TicketRequired
	TicketUnknown
	OutcomeUnknown
	AlreadyRunning
	NotFound
	Unauthorized
	StaleConfiguration
	QuotaExceeded
	numKinds
)

// Run says whether a request has run on a target.
type Run string

// The values of Run.
const (
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
	RunYes     Run = "yes"
)

// Answer is one row of the table from kind to answer.
type Answer struct {
	// Name is the stable text of the kind in answers, logs and metrics.
	Name string
	// Status is the HTTP status code.
	Status int
	// Run says whether the request may have run on a target.
	Run Run
	// CallerMayResend reports that the caller may send the same request again.
	CallerMayResend bool
	// TierMayRetry reports that the tier may try another target. For a request
	// that is not idempotent it applies only if Run is RunNo.
	TierMayRetry bool
}

var answers = [numKinds]Answer{
	Internal:         {"internal", http.StatusInternalServerError, RunUnknown, false, false},
	BadRequest:       {"bad_request", http.StatusBadRequest, RunNo, false, false},
	TooLarge:         {"too_large", http.StatusRequestEntityTooLarge, RunNo, false, false},
	UnknownCustomer:  {"unknown_customer", http.StatusNotFound, RunNo, false, false},
	UnknownService:   {"unknown_service", http.StatusNotFound, RunNo, false, false},
	DeadlinePassed:   {"deadline_passed", http.StatusGatewayTimeout, RunNo, true, false},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout, RunUnknown, false, false},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable, RunNo, true, true},
	NoConfiguration:  {"no_configuration", http.StatusServiceUnavailable, RunNo, true, false},
	Stopping:         {"stopping", http.StatusServiceUnavailable, RunNo, true, true},
	Unavailable:      {"unavailable", http.StatusServiceUnavailable, RunNo, true, true},
	NotHolder:        {"not_holder", http.StatusServiceUnavailable, RunNo, true, true},
	LeafCold:         {"leaf_cold", http.StatusServiceUnavailable, RunNo, true, true},
	LeafLeaving:      {"leaf_leaving", http.StatusServiceUnavailable, RunNo, true, true},
	LeafShed:         {"leaf_shed", http.StatusServiceUnavailable, RunNo, true, true},
	SnapshotNotHeld:  {"snapshot_not_held", http.StatusServiceUnavailable, RunNo, true, true},
	ConnectFailed:    {"connect_failed", http.StatusServiceUnavailable, RunNo, true, true},
	ConnectionLost:   {"connection_lost", http.StatusBadGateway, RunUnknown, false, true},
	BadAnswer:        {"bad_answer", http.StatusBadGateway, RunUnknown, false, true},
	Canceled:         {"canceled", statusClientClosedRequest, RunUnknown, false, false},
	Quarantined:      {"quarantined", http.StatusUnprocessableEntity, RunUnknown, false, false},
	CoverageTooLow:   {"coverage_too_low", http.StatusServiceUnavailable, RunUnknown, true, false},
	TicketRequired:   {"ticket_required", http.StatusPreconditionRequired, RunNo, false, false},
	TicketUnknown:    {"ticket_unknown", http.StatusConflict, RunUnknown, false, false},
	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway, RunUnknown, false, true},
	AlreadyRunning:   {"already_running", http.StatusConflict, RunUnknown, true, false},
	NotFound:         {"not_found", http.StatusNotFound, RunNo, false, false},
	Unauthorized:     {"unauthorized", http.StatusUnauthorized, RunNo, false, false},
	// StaleConfiguration refuses a request of which the node can't tell whether it is still
	// allowed; another node may know.
	StaleConfiguration: {"stale_configuration", http.StatusServiceUnavailable, RunNo, true, true},
	QuotaExceeded:      {"quota_exceeded", http.StatusTooManyRequests, RunNo, true, false},
}

// statusClientClosedRequest is the non-standard status of a request that the
// caller canceled before the answer.
const statusClientClosedRequest = 499

// Answer returns the row of the table for k.
func (k Kind) Answer() Answer {
	if k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Answer().Name }

// Parse returns the kind with the given stable name, and false if there is none.
func Parse(name string) (Kind, bool) {
	for k := Kind(0); k < numKinds; k++ {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// All returns every kind in the closed list.
func All() []Kind {
	all := make([]Kind, numKinds)
	for k := range all {
		all[k] = Kind(k)
	}
	return all
}

// Error is an error with a kind of the closed list.
type Error struct {
	Kind Kind
	// Run overrides the value in the table of kinds if it is not empty.
	Run Run
	Err error
}

// Errorf returns an *Error with a formatted message.
func Errorf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// WithRun returns err with a value of Run that overrides the one in the table
// of kinds.
func WithRun(err error, run Run) *Error {
	var e *Error
	if errors.As(err, &e) {
		return &Error{Kind: e.Kind, Run: run, Err: e.Err}
	}
	return &Error{Kind: Of(err), Run: run, Err: err}
}

// RunOf says whether a request that failed with err has run.
func RunOf(err error) Run {
	var e *Error
	if errors.As(err, &e) && e.Run != "" {
		return e.Run
	}
	return Of(err).Answer().Run
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the kind of err, or Internal if err has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
