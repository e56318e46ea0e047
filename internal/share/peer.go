package share

import "time"

// peer is the state that this process keeps about another host.
type peer struct {
	name        string
	incarnation uint64
	session     uint32
	seq         uint32
	// heardAt is the time of the last heartbeat, or the start of this process if
	// there was none.
	heardAt  time.Duration
	revision uint64
	released uint64
	settled  uint64
	flags    Flags
	draining []uint64

	// contact is set for hosts that belong to every view that may be in force.
	// Only contact with such hosts extends the lease.
	contact bool
	// heardWhileAttached is set if a heartbeat of the host's current process
	// arrived while this process was attached.
	heardWhileAttached bool
	// contacted is set once the peer has echoed a heartbeat of this process;
	// contactAt is the time at which the last echoed heartbeat was sent.
	contacted bool
	contactAt time.Duration
	// reports holds the latest time at which the peer can have heard each other
	// host, from a heartbeat that the peer sent after contactAt.
	reports []lastHeardReport
	// ackedSession is the session of this process in which the peer, under its
	// revision, uses none of this process's shares as their deputy.
	ackedSession uint32

	endedIncarnation uint64
	endedAt          time.Duration

	fenced      bool
	silentSince time.Duration

	appliedVerdictVersion uint32 // version of the peer's verdicts that was recorded
	echoedVerdictVersion  uint32 // version of our verdicts that the peer has echoed
}

// lastHeardReport is the latest time at which a peer can have heard a host.
type lastHeardReport struct {
	host      string
	lastHeard time.Duration
}

// peer returns the record of a host, creating it if necessary, and nil for this
// host.
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

// lastHeardOf returns the latest time at which the peer can have heard a host, and
// false if the peer has not reported it.
func (p *peer) lastHeardOf(host string) (time.Duration, bool) {
	for _, r := range p.reports {
		if r.host == host {
			return r.lastHeard, true
		}
	}
	return 0, false
}
