// Package relaynode assembles a node that relays requests on the routes of a
// catalog: its listeners, its membership, the updates of its catalog, its start and its
// graceful shutdown.
package relaynode

import (
	"runtime"
	"time"
)

// Settings describe the host of a node, its addresses, and the limits that it shares with
// its peers.
type Settings struct {
	// Name identifies the host.
	Name       string
	DataCentre string
	// CallerListen, ReadyListen, PeerListen and MetricsListen are the addresses to
	// listen on. MetricsListen may be empty.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	// Seeds are peer addresses to join through.
	Seeds []string
	// NodesRanBefore is set unless all nodes start for the first time.
	NodesRanBefore bool
	// StopGracePeriod is the time from the request to stop until the process is killed.
	StopGracePeriod time.Duration
	// MaxApplyDelay is the time within which an accepted table must be in force.
	MaxApplyDelay time.Duration
	// RetryBudgetRatio, RetryBudgetSlack and RetryWindow are the retry budget of a
	// service. It bounds the retries and hedges of all nodes together.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	RetryWindow      time.Duration
	// ColdRatio and ColdSlack bound the requests per second from all nodes to a leaf in
	// a cold start.
	ColdRatio float64
	ColdSlack float64
	// MaxRevocationDelay is the time after which a key that was taken away is refused, whatever
	// the state of the node and its links. Zero sets no limit.
	MaxRevocationDelay time.Duration
	// QuotaSlack is the number of requests by which the nodes together may exceed the limit of a
	// tenant in a few seconds.
	QuotaSlack float64
	// DataCentres is the number of data centres that have hosts; zero if not known.
	DataCentres int
	// Cores is the processor time that the host may use, in cores, and LinkMbps the
	// speed of its network link. They are zero if not known.
	Cores    float64
	LinkMbps float64
	// MaxFiles is the number of descriptors that the process may use; zero means no limit.
	MaxFiles int
	// MemoryBytes is the memory that the process may use; zero means no limit.
	MemoryBytes int64
}

const (
	// defaultStopGracePeriod is used if StopGracePeriod is not positive.
	defaultStopGracePeriod = 10 * time.Second
	// defaultGCPercent is the heap growth at which garbage is collected on hosts with at least
	// fullGCCores cores; smaller hosts multiply it by up to maxGCFactor.
	defaultGCPercent = 100
	fullGCCores      = 0.4
	maxGCFactor      = 4
	// answerMemoryRatio is the fraction of the memory for data that the bodies of leaves' answers
	// may take.
	answerMemoryRatio = 0.25
	// callMemoryRatio is the fraction of the memory for data that calls to leaves and the requests that
	// they carry may take.
	callMemoryRatio = 0.1
	// balancerLagRatio is the fraction of StopGracePeriod for which a stopping node still
	// accepts new requests, since the balancer takes time to notice that it is not ready.
	balancerLagRatio = 0.52
	// answerRatio is the fraction of StopGracePeriod after which requests in progress are
	// answered without their leaves' answers, and giveUpRatio the one after which it no longer
	// matters whether it is known that no leaf has run them.
	answerRatio = 0.9
	giveUpRatio = 0.93
	// shutdownRatio is the fraction of StopGracePeriod after which requests still in
	// flight are cut off.
	shutdownRatio = 0.94
	// tableDeferralRatio is the fraction of MaxApplyDelay for which a table may be
	// deferred until its leaves are warm; the rest is for requests in flight.
	tableDeferralRatio = 0.7
	// maxKnowledgeRatio is the fraction of MaxRevocationDelay at which the knowledge of keys is too
	// old; the rest is for differences in the speed of clocks. watchWaitRatio is the fraction of it
	// for which the store may hold a watch: the knowledge of a node that follows the store is up to
	// two waits old.
	maxKnowledgeRatio = 0.96
	watchWaitRatio    = 0.2
	// mbpsPerCore is the link speed that one core can use when it gathers.
	mbpsPerCore = 100
	// peerDiscoveryTime is how long a new process discovers its peers before it takes its
	// share of the limits.
	peerDiscoveryTime = time.Second
	// nonIdempotentMaxIdle bounds the idle time of a connection to a leaf on which a
	// request that is not idempotent is sent; a connection that was idle for longer may
	// be dead.
	nonIdempotentMaxIdle = 5 * time.Second
	// headerTimeout bounds the time that a caller takes to send the request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long an idle connection of a caller is kept open if the
	// table sets no timeout or is not known yet.
	defaultIdleTimeout = time.Minute
	// stopPollInterval is how often a stopping node checks for gathers in progress for
	// peers.
	stopPollInterval = 20 * time.Millisecond
	// idleSweepInterval is how often idle connections are checked.
	idleSweepInterval = time.Second
)

// capacity returns the capacity that the node announces to its peers, in hundredths of a
// core. The speed of the link is converted to the number of cores that can use it.
func (s *Settings) capacity() uint32 {
	c := s.Cores
	if c <= 0 {
		c = float64(runtime.GOMAXPROCS(0))
	}
	if s.LinkMbps > 0 {
		c = min(c, s.LinkMbps/mbpsPerCore)
	}
	return uint32(100 * c)
}

// gcPercent returns the heap growth, in percent, at which garbage is collected. A collection holds up
// requests for longer on a host with a smaller fraction of a core, so it is rarer there.
func (s *Settings) gcPercent() int {
	if s.Cores <= 0 {
		return defaultGCPercent
	}
	return int(defaultGCPercent * min(max(fullGCCores/s.Cores, 1), maxGCFactor))
}

func (s *Settings) stopGracePeriod() time.Duration {
	if s.StopGracePeriod <= 0 {
		return defaultStopGracePeriod
	}
	return s.StopGracePeriod
}
