package member

import "time"

// Bounds of sizes.
const (
	// bucketCount is the number of buckets whose digests two nodes compare.
	bucketCount = 32
	// maxUpdates bounds the updates carried by a probe or a Gossip.
	maxUpdates = 10
	// maxSyncUpdates keeps a SyncState within a frame of 64 KB.
	maxSyncUpdates = 100
	// maxMembers bounds the number of members in the table.
	maxMembers = 4096
)

// Intervals and timeouts.
const (
	// TickInterval is the interval at which the controller calls Tick.
	TickInterval = 100 * time.Millisecond

	probeInterval     = time.Second
	fastProbeInterval = 200 * time.Millisecond
	fastProbePeriod   = 5 * time.Second
	// directTimeout is the time without an answer after which other members are asked to
	// probe.
	directTimeout = 400 * time.Millisecond
	probeTimeout  = time.Second
	// confirmInterval is the interval at which a suspect is pinged in the second half of
	// its suspicion timeout.
	confirmInterval = 500 * time.Millisecond

	gossipInterval           = 200 * time.Millisecond
	syncInterval             = 30 * time.Second
	resyncInterval           = 3 * time.Second
	joinInterval             = time.Second
	hintInterval             = 2 * time.Second
	defaultDeadProbeInterval = 10 * time.Second
	minSuspicionTimeout      = 2 * time.Second
	suspicionPerDigit        = time.Second
	deadRetention            = 6 * time.Hour
	// maxTickGap is the gap between two events above which the process is taken to have
	// been paused.
	maxTickGap = time.Second
)

const (
	indirectProbes = 3
	// maxConfirmPings bounds the number of suspects that are pinged in one tick before
	// they are declared dead.
	maxConfirmPings = 8
	gossipFanout    = 3
	// retransmitsPerDigit is the number of transmissions of an update per decimal digit
	// of the number of members.
	retransmitsPerDigit = 4
	// longQueue is the number of queued updates above which each is sent only once per
	// digit.
	longQueue = 64
)

// Host is an entry of the platform's host list.
type Host struct {
	Name    string
	Address string
}

// Options configures a List.
type Options struct {
	// Seeds are the addresses of nodes through which to join the fleet.
	Seeds []string
}
