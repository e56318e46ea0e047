// Package share decides which shares of which leaves this process may use now.
// Each share has one owner and at most one deputy, computed from the host list.
// The processes of a cell exchange heartbeats. The rules for the use, takeover
// and return of shares and for host list changes ensure that two processes never
// use a share at the same time, without voting, shared storage or agreement on
// the host list. The package does no I/O and does not read a clock: events,
// heartbeats and the time are passed in.
package share

import (
	"fmt"
	"time"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 400 * time.Millisecond
	DefaultUseLease          = 1200 * time.Millisecond
	DefaultMaxCall           = time.Second
	DefaultMargin            = 100 * time.Millisecond
	DefaultListLag           = 10 * time.Second
)

// Options configures a State. Durations that are zero or negative take their
// defaults. All processes of a cell must have the same UseLease and Margin.
type Options struct {
	// Host is the name of this host in the host list.
	Host string
	// Cell is the cell of this host.
	Cell string
	// Incarnation identifies this process. It must be positive and greater than
	// that of every earlier process of the same host.
	Incarnation uint64
	// HeartbeatInterval is the time between heartbeats to the same peer. It must
	// be shorter than UseLease.
	HeartbeatInterval time.Duration
	// UseLease is the time for which shares may be used after this process sent a
	// heartbeat that a peer has echoed.
	UseLease time.Duration
	// MaxCall is the longest duration of a leaf call of services that set no
	// deadline.
	MaxCall time.Duration
	// Margin covers clock drift within one lease and the transit of a call.
	Margin time.Duration
	// ListLag bounds the staleness of the platform's host list at every host. It
	// matters only when no process is attached or the view is not settled, and a
	// host is silent.
	ListLag time.Duration
	// ExitEndsCalls states that leaves cancel a call when its connection closes,
	// so that the end of a process also ends its calls.
	ExitEndsCalls bool

	// unsafeTakeover makes the process take over shares without accounting for
	// every host. Tests set it to check that the model detects the fault.
	unsafeTakeover bool
}

func (o Options) withDefaults() (Options, error) {
	if o.Host == "" {
		return o, fmt.Errorf("share options have no host name")
	}
	if o.Incarnation == 0 {
		return o, fmt.Errorf("incarnation of host %q is zero", o.Host)
	}
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.UseLease, DefaultUseLease)
	setDefault(&o.MaxCall, DefaultMaxCall)
	setDefault(&o.Margin, DefaultMargin)
	setDefault(&o.ListLag, DefaultListLag)
	if o.UseLease <= o.HeartbeatInterval {
		return o, fmt.Errorf("use lease %v must be longer than the heartbeat interval %v", o.UseLease, o.HeartbeatInterval)
	}
	return o, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
