package share

import "time"

// peer is what this process knows of another host.
type peer struct {
	name        string
	incarnation uint64
	session     uint32
	seq         uint32
	// heardAt is the time of the last heartbeat, or of this process's start.
	heardAt  time.Duration
	revision uint64
	released uint64
	settled  uint64
	flags    Flags
	draining []uint64

	// contact is set for hosts of every view that could be in force.
	contact bool
	// heardWhileAttached is set for a process that was heard while this one was attached.
	heardWhileAttached bool
	// contactAt is when the latest heartbeat that this peer echoed was sent;
	// contacted is false if there is none.
	contacted bool
	contactAt time.Duration
	// reports hold the latest time at which the peer can have heard others,
	// as of a heartbeat that it sent after contactAt.
	reports []lastHeardReport
	// ackedSession is our session in which the peer uses none of our shares as
	// their deputy under its revision.
	ackedSession uint32

	endedIncarnation uint64
	endedAt          time.Duration

	fenced      bool
	silentSince time.Duration

	appliedVerdictVersion uint32 // version of the peer's marks
	echoedVerdictVersion  uint32 // version of our marks
}

// lastHeardReport bounds when a peer has heard a host.
type lastHeardReport struct {
	host      string
	lastHeard time.Duration
}

// peer returns the record of a host, and nil for this host.
func (s *State) peer(name string) *peer {
	if name == s.opts.Host {
		return nil
	}
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name, heardAt: s.start}
		s.peers[name] = p
	}
	return p
}

// lastHeardOf returns when the peer can have heard a host last.
func (p *peer) lastHeardOf(host string) (time.Duration, bool) {
	for _, r := range p.reports {
		if r.host == host {
			return r.lastHeard, true
		}
	}
	return 0, false
}
