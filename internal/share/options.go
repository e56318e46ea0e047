// Package share decides which shares of which leaves this process may use now.
// Each share has one owner and one deputy, computed from the host list. The
// processes of a cell exchange heartbeats; the rules for use, takeover, return
// and host list changes ensure that a share never has two users, without a
// vote, a store or agreement on the host list. The package does no I/O and
// reads no clock: events, heartbeats and the time are passed in.
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

// Options configures a State. Zero durations take their defaults. All
// processes of a cell must have the same UseLease and Margin.
type Options struct {
	// Host is the name of this host in the host list.
	Host string
	// Cell is the cell of this host.
	Cell string
	// Incarnation identifies this process. It must be greater than that of
	// every earlier process of the same host, and not zero.
	Incarnation uint64
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval time.Duration
	// UseLease bounds the use of shares after a heartbeat was sent that a peer
	// has echoed.
	UseLease time.Duration
	// MaxCall is the longest leaf call of services that set no deadline.
	MaxCall time.Duration
	// Margin covers clock drift within one lease and the transit of a call.
	Margin time.Duration
	// ListLag bounds how stale the platform's host list is at any host. It
	// matters only when no process is attached and a host is silent.
	ListLag time.Duration
	// ExitEndsCalls is set when leaves cancel a call whose connection closes,
	// so that the end of a process also ends its calls.
	ExitEndsCalls bool

	unsafeTakeover bool // takes shares over without accounting for every host
}

func (o Options) withDefaults() (Options, error) {
	if o.Host == "" {
		return o, fmt.Errorf("options name no host")
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
