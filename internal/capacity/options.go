// Package capacity measures the cost of the control plane. It runs fleets of real
// node processes of several sizes against a stand-in for the platform, and reports
// processor time, memory, bytes, reads of the platform's service and the time until
// a document is in force on all nodes.
package capacity

import (
	"errors"
	"time"
)

// Options describe a measurement.
type Options struct {
	// NodeBinary is the path of the redwingshelf binary.
	NodeBinary string
	// Nodes are the numbers of nodes of the fleets, which are measured one after the
	// other.
	Nodes []int
	// Leaves are the approximate numbers of leaves of the documents.
	Leaves []int
	// Modes are the modes to measure at each size.
	Modes []Mode
	// Duration is how long each mode is measured.
	Duration time.Duration
	// ChangeInterval is the interval at which documents or host lists are published.
	ChangeInterval time.Duration
	// RestartInterval is the interval at which nodes are restarted.
	RestartInterval time.Duration
	// PropagationRounds is the number of documents whose propagation is timed.
	PropagationRounds int
	// Progress, if set, is called with a description of each measurement that begins.
	Progress func(text string)
}

// Mode selects the changes that are made during a measurement.
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

// Modes returns all modes in the order in which they are measured by default.
func Modes() []Mode { return []Mode{ModeIdle, ModeChanges, ModeHosts, ModeRestarts} }

func (o *Options) check() error {
	switch {
	case o.NodeBinary == "":
		return errors.New("path of the node binary is not set")
	case len(o.Nodes) == 0 || len(o.Leaves) == 0:
		return errors.New("at least one number of nodes and of leaves is required")
	case o.Duration <= 0 || o.ChangeInterval <= 0 || o.RestartInterval <= 0:
		return errors.New("duration and intervals must be positive")
	}
	return nil
}

func (o *Options) progress(text string) {
	if o.Progress != nil {
		o.Progress(text)
	}
}
