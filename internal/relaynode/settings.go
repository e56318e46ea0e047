// Package relaynode assembles a node that relays requests on the routes of a
// catalog: its listeners, its membership, the reading of the catalog, and start and
// stop.
package relaynode

import "time"

// Settings is what a node needs to know of its host and of the bounds that it
// shares with its peers.
type Settings struct {
	// Name identifies the host.
	Name       string
	DataCentre string
	// CallerListen, ReadyListen, PeerListen and MetricsListen are addresses to
	// listen at. MetricsListen may be empty.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// ReadyPath is where the balancer asks whether the node is ready.
	ReadyPath string
	// Seeds are peer addresses to join through.
	Seeds []string
	// StopWithin is the time from the request to stop until the process is killed.
	StopWithin time.Duration
	// ApplyWithin is the time in which an accepted table must be in force.
	ApplyWithin time.Duration
	// RepeatShare, RepeatSlack and RepeatWindow bound repeats at a service, over all
	// nodes.
	RepeatShare  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// ColdShare and ColdSlack bound requests in a second at a cold leaf, over all
	// nodes.
	ColdShare float64
	ColdSlack float64
	// Cores is the processor time that the host may use, in cores, and LinkMbps the
	// speed of its link; zero if not known.
	Cores    float64
	LinkMbps float64
	// MemoryBytes is the memory that the process may use; zero sets no bound.
	MemoryBytes int64
}

const (
	// defaultStopWithin stands in for a StopWithin of zero.
	defaultStopWithin = 10 * time.Second
	// memoryUse is the part of the memory that the runtime aims to stay below.
	memoryUse = 0.8
	// answerPart is the part of the memory that the bodies of leaves' answers may take.
	answerPart = 0.25
	// balancerLagPart is the part of StopWithin for which a stopping node takes new
	// requests, since the balancer notices late that it is not ready.
	balancerLagPart = 0.52
	// stopPart is the part of StopWithin after which requests still in progress
	// are cut off.
	stopPart = 0.94
	// tableWaitPart is the part of ApplyWithin for which a table may wait for leaves
	// in a cold start; the rest is for requests that are under way.
	tableWaitPart = 0.7
	// mbpsPerCore is the link speed that one core makes use of when it gathers.
	mbpsPerCore = 100
	// settleTime is how long a new process learns of its peers before it takes its
	// part of what they share.
	settleTime = time.Second
	// onceMaxIdle bounds the idle time of a connection to a leaf before a request
	// that must not be repeated is sent on it; an older one may have gone silent.
	onceMaxIdle = 5 * time.Second
	// headerTimeout bounds the time that a caller takes to send a header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long an idle connection of a caller is kept until
	// the table names a time.
	defaultIdleTimeout = time.Minute
	// stopPoll is the time between looks for work in progress for peers.
	stopPoll = 20 * time.Millisecond
	// idleSweep is the time between looks for connections that are idle too long.
	idleSweep = time.Second
)

// capacity returns what the node tells peers of its host, in hundredths of a core. A
// link counts as the processor time that can make use of it.
func (s *Settings) capacity() uint32 {
	c := s.Cores
	if s.LinkMbps > 0 {
		c = min(c, s.LinkMbps/mbpsPerCore)
	}
	return uint32(100 * c)
}

func (s *Settings) stopWithin() time.Duration {
	if s.StopWithin <= 0 {
		return defaultStopWithin
	}
	return s.StopWithin
}
