package once

import "github.com/redwingshelf/redwingshelf/internal/kind"

// TargetReport is what a target reported about running a request.
type TargetReport uint8

// The values of TargetReport.
const (
	// NoReport means that no complete answer of the target was received.
	NoReport TargetReport = iota
	// ReportedRun means that the target answered the request.
	ReportedRun
	// ReportedNotRun means that the target reported that it did not run the request.
	ReportedNotRun
)

// Outcome is how a request with a ticket ended.
type Outcome struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	// Failed is set for a failure of kind Kind, and unset for an answer of the
	// target.
	Failed bool
	Kind   kind.Kind
	// Run says whether the request has run. It overrides the value that the
	// table of kinds has for Kind.
	Run    kind.Run
	Status int
	Body   []byte
	// BodyDropped reports that the answer was too large to be kept.
	BodyDropped bool
}

// RunState returns whether a request has run, given whether its first byte may
// have been sent and what the target reported.
func RunState(sent bool, report TargetReport) kind.Run {
	switch {
	case !sent, report == ReportedNotRun:
		return kind.RunNo
	case report == ReportedRun:
		return kind.RunYes
	default:
		return kind.RunUnknown
	}
}

// RefusedElsewhere returns the outcome that a process answers with when it cannot
// reach the process of a ticket, or refuses to forward a request. It is not known
// there whether an earlier request with the ticket has run, so Run is never "no".
func RefusedElsewhere(k kind.Kind) Outcome {
	return Outcome{Failed: true, Kind: k, Run: kind.RunUnknown}
}
