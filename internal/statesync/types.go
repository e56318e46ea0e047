// Package statesync keeps a node's catalog up to date.
//
// Only a few nodes follow the platform's store directly. The nodes of a data centre form
// a tree: the root follows the store, and every other node follows its parent. A node
// whose source fails or is out of date switches to the next one, and finally to the store
// itself, so that no node depends on another one being alive or reachable.
package statesync

import (
	"context"
	"errors"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// ErrHistoryLost is returned if the changes after a revision are no longer available. A
// snapshot must be read instead.
var ErrHistoryLost = errors.New("history after this revision is no longer available")

// ErrUpdateTooLarge is returned if the changes after a revision are too many to be received. Asking
// again would give the same changes and more, so a snapshot must be read instead.
var ErrUpdateTooLarge = errors.New("changes after this revision are too many")

// Store is a set of entries with a history of numbered revisions. It can be read and
// watched.
type Store interface {
	// Snapshot returns all entries. It fails if the store does not begin to answer within
	// answerWithin.
	Snapshot(ctx context.Context, answerWithin time.Duration) (*catalog.Snapshot, error)
	// Watch returns the changes after a revision as soon as there are any, or an
	// empty update once wait has passed. It fails with ErrHistoryLost if the store no
	// longer has the changes, and with ErrUpdateTooLarge if they are too many.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error)
}

// Peers sends requests to the other nodes.
type Peers interface {
	// FetchChanges requests changes from the node at an address.
	FetchChanges(ctx context.Context, address string, req *Request) (*Reply, error)
	// FetchTable requests a part of a table from the node at an address.
	FetchTable(ctx context.Context, address string, req *TableRequest) (*TablePart, error)
}

// Request requests the changes of a node's catalog after a cursor.
type Request struct {
	// Requester is the process that sends the request.
	Requester string
	// Process and Sequence are the cursor of the last reply. They are empty in the
	// first request.
	Process  string
	Sequence uint64
	// AsOf is the revision up to which the requester's catalog is complete.
	AsOf uint64
	// MaxWait is how long the peer may wait for changes before it replies.
	MaxWait time.Duration
}

// Reply carries changes of a node's catalog.
type Reply struct {
	// Process and Sequence are the cursor for the next request.
	Process  string
	Sequence uint64
	// AsOf is the revision up to which the catalog is complete.
	AsOf uint64
	// Age is the time since the catalog was last known to hold everything that the
	// store had.
	Age time.Duration
	// Verified is set if the catalog is known to hold everything that the store had at some
	// time, which was VerifiedAgo before this request arrived, or after it if negative. Unlike
	// Age, it is never too short, whatever delays a message: it counts from when the store was
	// asked, and the requester counts from when it sent its request.
	Verified    bool
	VerifiedAgo time.Duration
	// Path are the processes that the catalog's state came through, the nearest to the
	// store first. A node that finds itself there would follow itself.
	Path []string
	// Full is set if the cursor is not known: Changes are entries that are newer than the
	// requester's catalog, and LeftOut the keys of all others. Otherwise Changes are those
	// since the cursor. More is set if there are more of them.
	Full    bool
	Changes []catalog.Change
	LeftOut []string
	More    bool
	// Table is the newest table of the node, or nil if it has none. Changes hold no tables.
	Table *TableInfo
}
