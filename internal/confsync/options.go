package confsync

import "time"

// Bounds of sizes.
const (
	// MaxBlobBytes is the greatest size of a blob.
	MaxBlobBytes = 1 << 20
	// maxChunkBytes keeps a Chunk within a frame of 64 KB.
	maxChunkBytes = 60 << 10
	// maxInlineDeltaBytes bounds the difference carried by an Announce.
	maxInlineDeltaBytes = 2 << 10
	// keptRevisions is the number of revisions from which differences are served.
	keptRevisions = 4
	// maxRefused bounds the remembered identities that were not taken.
	maxRefused = 32
)

// failuresToYield is the number of failed reads after which the next node by
// rank reads the service too.
const failuresToYield = 2

// Periods and rates.
const (
	// TickInterval is the interval at which the controller calls Tick.
	TickInterval = 100 * time.Millisecond

	// watchWait is the mean time that a read waits for a change.
	watchWait       = 20 * time.Second
	readGrace       = 10 * time.Second
	standbyInterval = 3 * time.Second
	minPollInterval = 60 * time.Second
	verifyInterval  = 10 * time.Minute
	minReadBackoff  = 500 * time.Millisecond
	maxReadBackoff  = 30 * time.Second
	minReadGap      = time.Second
	readBurst       = 2

	// fleetPollsPerSecond bounds the polls of all nodes together.
	fleetPollsPerSecond = 10
	// fleetStartReadsPerSecond bounds the first reads of a fleet that starts.
	fleetStartReadsPerSecond = 100
	// fleetReadsPerSecond bounds the reads when every node watches.
	fleetReadsPerSecond = 200

	pushRounds     = 3
	pushFanout     = 3
	pushInterval   = 200 * time.Millisecond
	gossipInterval = 10 * time.Second
	startGossip    = time.Second
	fetchTimeout   = 400 * time.Millisecond
	refusedFor     = 10 * time.Minute
	failingFor     = 45 * time.Second

	peerAnswersWanted  = 8
	peerQueriesPerTick = 16
	peerSettle         = 500 * time.Millisecond
	peerBound          = 3 * time.Second
	serviceBound       = 3 * time.Second
	newerHeardFor      = 5 * time.Second
	confirmedFor       = 30 * time.Second

	// greetersPerPeer is the mean number of ready nodes that announce their
	// revision to a node that joined.
	greetersPerPeer = 8
	maxGreetings    = 1024
)

// Check validates the bytes of a blob and returns their identity.
type Check func(data []byte) (Identity, error)

// Differ makes and applies differences between the bytes of two revisions.
type Differ interface {
	Delta(from, to []byte) []byte
	Apply(from, delta []byte) ([]byte, error)
}

// Peer is one alive node of the fleet.
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
	// Seeds are addresses to ask before any peer is known.
	Seeds  []string
	Check  Check
	Differ Differ
	// FleetSize is the expected number of nodes. It spreads reads over time
	// before the peers are known.
	FleetSize int
	// MinimumRevision is the lowest revision with which the node may serve.
	MinimumRevision uint64
}
