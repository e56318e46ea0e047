// Package capacity measures what control costs: it runs fleets of real node
// processes of several sizes against stand-ins of the platform, and reports
// processor time, memory, bytes, reads of the platform's service and the time in
// which a document comes in force.
package capacity

import (
	"errors"
	"time"
)

// Options describe a measurement.
type Options struct {
	// NodeBinary is the path of the redwingshelf program.
	NodeBinary string
	// Nodes are the sizes of the fleets, measured one after the other.
	Nodes []int
	// Leaves are the sizes of the documents.
	Leaves []int
	// Modes are the modes to measure at each size.
	Modes []Mode
	// Duration is the length of each mode.
	Duration time.Duration
	// ChangeInterval is the time between two documents or host lists.
	ChangeInterval time.Duration
	// RestartInterval is the time between two restarts of a node.
	RestartInterval time.Duration
	// PropagationRounds is the number of documents whose spreading is timed.
	PropagationRounds int
	// Progress is told what is being measured; it may be nil.
	Progress func(text string)
}

// Mode is what happens during a measurement.
type Mode string

// The modes of a measurement.
const (
	// ModeIdle changes nothing.
	ModeIdle Mode = "idle"
	// ModeChanges publishes documents.
	ModeChanges Mode = "changes"
	// ModeHosts publishes host lists.
	ModeHosts Mode = "hosts"
	// ModeRestarts stops and kills nodes of the last cell and starts them again.
	ModeRestarts Mode = "restarts"
)

// Modes returns all modes in the order of a run.
func Modes() []Mode { return []Mode{ModeIdle, ModeChanges, ModeHosts, ModeRestarts} }

func (o *Options) check() error {
	switch {
	case o.NodeBinary == "":
		return errors.New("the node's program is not named")
	case len(o.Nodes) == 0 || len(o.Leaves) == 0:
		return errors.New("no number of nodes or leaves is given")
	case o.Duration <= 0 || o.ChangeInterval <= 0 || o.RestartInterval <= 0:
		return errors.New("times must be positive")
	}
	return nil
}

func (o *Options) progress(text string) {
	if o.Progress != nil {
		o.Progress(text)
	}
}
