package member

import "time"

// Bounds of sizes.
const (
	// buckets is the number of parts of the table that are compared.
	buckets = 32
	// maxUpdates bounds the updates carried by a probe or a Gossip.
	maxUpdates = 10
	// maxSyncUpdates keeps a SyncState within a frame of 64 KB.
	maxSyncUpdates = 100
	// maxMembers bounds the table.
	maxMembers = 4096
)

// Periods.
const (
	// TickInterval is the interval at which the controller calls Tick.
	TickInterval = 100 * time.Millisecond

	probeInterval     = time.Second
	fastProbeInterval = 200 * time.Millisecond
	fastProbeTime     = 5 * time.Second
	// directTimeout is the time after which others are asked to probe.
	directTimeout = 400 * time.Millisecond
	probeTimeout  = time.Second
	// confirmInterval is the interval of the last pings of a suspect.
	confirmInterval = 500 * time.Millisecond

	gossipInterval   = 200 * time.Millisecond
	syncInterval     = 30 * time.Second
	resyncInterval   = 3 * time.Second
	joinInterval     = time.Second
	hintInterval     = 2 * time.Second
	deadProbe        = 10 * time.Second
	minSuspicion     = 2 * time.Second
	suspicionPerStep = time.Second
	deadRetention    = 6 * time.Hour
	// maxTickGap is the gap after which the process is taken to have paused.
	maxTickGap = time.Second
)

const (
	indirectProbes = 3
	// maxConfirms bounds the suspects that are pinged in one tick.
	maxConfirms  = 8
	gossipFanout = 3
	// retransmits is the number of transmissions of an update per digit of the
	// number of members.
	retransmits = 4
	// crowdedQueue is the number of queued updates above which each is sent once
	// per digit.
	crowdedQueue = 64
)

// Host is an entry of the platform's host list.
type Host struct {
	Name    string
	Address string
}

// Options configures a List.
type Options struct {
	// Seeds are addresses of nodes to join through.
	Seeds []string
}
