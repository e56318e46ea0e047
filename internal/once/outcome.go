package once

import "github.com/redwingshelf/redwingshelf/internal/kind"

// Word is what a target said about running a request.
type Word uint8

// The values of Word.
const (
	// NoWord means that no whole answer came from the target.
	NoWord Word = iota
	// SaidRun means that the target answered the request.
	SaidRun
	// SaidNotRun means that the target said that it did not run the request.
	SaidNotRun
)

// Outcome is how a request with a ticket ended.
type Outcome struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	// Failed tells a failure of kind Kind from an answer of the target.
	Failed bool
	Kind   kind.Kind
	// Run says whether the request has run. It takes the place of the value
	// that the table of kinds has for Kind.
	Run    kind.Run
	Status int
	Body   []byte
	// BodyDropped reports that the answer was too large to be kept.
	BodyDropped bool
}

// RunState says whether a request has run, given whether its first byte may
// have been sent and what the target said.
func RunState(sent bool, word Word) kind.Run {
	switch {
	case !sent, word == SaidNotRun:
		return kind.RunNo
	case word == SaidRun:
		return kind.RunYes
	default:
		return kind.RunUnknown
	}
}

// RefusedElsewhere returns the outcome that a process answers when it fails to
// reach the process of a ticket, or refuses to pass a request on. A resend
// can't know whether an earlier one has run, so Run is never "no".
func RefusedElsewhere(k kind.Kind) Outcome {
	return Outcome{Failed: true, Kind: k, Run: kind.RunUnknown}
}
