package confsync

import "time"

// Size limits.
const (
	// MaxBlobBytes is the maximum size of a blob.
	MaxBlobBytes = 1 << 20
	// maxChunkBytes keeps a Chunk within a frame of 64 KB.
	maxChunkBytes = 60 << 10
	// maxInlineDeltaBytes is the maximum size of the delta in an Announce.
	maxInlineDeltaBytes = 2 << 10
	// maxRevisions is the number of accepted revisions that are kept, including the
	// current one, to serve chunks and deltas.
	maxRevisions = 4
	// maxRejected is the maximum number of rejected identities that are remembered.
	maxRejected = 32
)

// failuresToYield is the number of consecutive failed reads after which a node
// announces that its reads fail, so that the next node by rank also becomes a reader.
const failuresToYield = 2

// Durations and rates.
const (
	// TickInterval is the interval at which the controller calls Tick.
	TickInterval = 100 * time.Millisecond

	// watchWait is the mean time that a long poll waits for a change.
	watchWait = 20 * time.Second
	// readGrace is the time past the wait after which a read has failed.
	readGrace = 10 * time.Second
	// standbyInterval is the mean poll interval of the readers other than the first.
	standbyInterval = 3 * time.Second
	// minPollInterval is the minimum mean poll interval of nodes that are not readers.
	minPollInterval = 60 * time.Second
	// verifyInterval is the interval at which the first reader reads the current
	// revision again.
	verifyInterval = 10 * time.Minute
	minReadBackoff = 500 * time.Millisecond
	maxReadBackoff = 30 * time.Second
	// minReadGap is the minimum refill interval of the read budget, and readBurst its
	// size.
	minReadGap = time.Second
	readBurst  = 2

	// fleetPollsPerSecond limits the polls of all nodes together.
	fleetPollsPerSecond = 10
	// fleetStartReadsPerSecond limits the first reads when the whole fleet starts.
	fleetStartReadsPerSecond = 100
	// fleetReadsPerSecond limits the reads of all nodes together, also when each node
	// is a reader.
	fleetReadsPerSecond = 200

	// A new revision is announced in pushRounds rounds, one per pushInterval, each to
	// pushFanout random peers.
	pushRounds   = 3
	pushFanout   = 3
	pushInterval = 200 * time.Millisecond

	// gossipInterval is the mean interval between queries to a random peer, and
	// startupGossipInterval the one before the node is ready.
	gossipInterval        = 10 * time.Second
	startupGossipInterval = time.Second
	// fetchTimeout is the time after which a source has failed to answer a Fetch.
	fetchTimeout = 400 * time.Millisecond
	// rejectedTTL is how long a rejected identity is remembered.
	rejectedTTL = 10 * time.Minute
	// readFailingTTL is how long a peer counts as unable to read the service after
	// its last Announce with ReadFailing.
	readFailingTTL = 45 * time.Second

	// readyAnswersNeeded is the number of answers of ready peers that ends the peer
	// queries of a starting node.
	readyAnswersNeeded = 8
	peerQueriesPerTick = 16
	// peerSettleTime is the time after the start before which the known peers may be
	// incomplete, so that answers of all of them don't end the peer queries.
	peerSettleTime = 500 * time.Millisecond
	// peerTimeout ends the peer queries of a starting node.
	peerTimeout = 3 * time.Second
	// serviceTimeout is the time past the spread of the first reads after which a
	// node may become ready although the service was not read.
	serviceTimeout = 3 * time.Second
	// newerRevisionTTL is how long a newer revision that was announced keeps a node
	// from becoming ready and a transfer from being abandoned.
	newerRevisionTTL = 5 * time.Second
	// confirmationTTL is the maximum age of a read by a peer that replaces the first
	// read of a starting node.
	confirmationTTL = 30 * time.Second

	// announcersPerJoin is the mean number of ready nodes that announce their
	// revision to a node that joined.
	announcersPerJoin = 8
	// maxJoinAnnounces is the maximum number of scheduled announcements to joined
	// peers.
	maxJoinAnnounces = 1024
)

// Check validates the bytes of a blob and returns their identity.
type Check func(data []byte) (Identity, error)

// Differ computes and applies deltas between the bytes of two revisions.
type Differ interface {
	Delta(from, to []byte) []byte
	Apply(from, delta []byte) ([]byte, error)
}

// Peer is an alive node of the fleet.
type Peer struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	// Ready and Revision come from the peer's membership record and may lag.
	Ready    bool
	Revision uint64
}

// Options configures a Syncer.
type Options struct {
	// Blob names the blob, such as "config" or "hosts".
	Blob string
	Self Peer
	// Seeds are peer addresses to query before any peer is known.
	Seeds  []string
	Check  Check
	Differ Differ
	// FleetSize is the expected number of nodes. It determines how reads are spread
	// over time before the peers are known.
	FleetSize int
	// MinimumRevision is the lowest revision with which the node may serve.
	MinimumRevision uint64
}
