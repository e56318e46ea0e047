package statesync

import (
	"context"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

const (
	// maxWait bounds the time for which a request waits for changes.
	maxWait = 5 * time.Second
	// maxReplyEntries bounds the entries in a reply, so that it arrives in time on a slow
	// link: about 30 KB.
	maxReplyEntries = 256
)

// ServeChanges serves a request of another node. It waits for changes for at most
// MaxWait of the request.
func (w *Watcher) ServeChanges(ctx context.Context, req *Request) *Reply {
	c, process := w.options.Catalog, w.options.Process
	arrived := w.options.BootTime()
	timer := time.NewTimer(min(req.MaxWait, maxWait))
	defer timer.Stop()
	for {
		sequence, next := c.Watch()
		if req.Process != process || req.Sequence < sequence || w.unusableFor(req.Requester) {
			return w.reply(arrived, req)
		}
		select {
		case <-next:
		case <-timer.C:
			return w.reply(arrived, req)
		case <-ctx.Done():
			return w.reply(arrived, req)
		}
	}
}

// unusableFor reports whether the requester would reject the reply of this node, because
// the catalog is too old or the requester is on the path from the store to this node.
func (w *Watcher) unusableFor(requester string) bool {
	var path []string
	if p := w.path.Load(); p != nil {
		path = *p
	}
	age, known := w.Age()
	return !known || age > maxAge(len(path)+1) || slices.Contains(path, requester)
}

// maxAge returns the maximum age of a peer's catalog, given the number of nodes on the
// path from the store to the peer, the peer included.
func maxAge(nodes int) time.Duration { return maxDirectAge + time.Duration(nodes-1)*maxAgePerHop }

// reply returns the reply to a request that arrived at a boot time.
func (w *Watcher) reply(arrived time.Duration, req *Request) *Reply {
	c, process := w.options.Catalog, w.options.Process
	// The catalog may become newer after this, but not older.
	verified := w.verified.Load()
	var p *catalog.Page
	if req.Process == process {
		p = c.Since(req.Sequence, maxReplyEntries)
	}
	full := p == nil
	if full {
		p = c.Difference(req.AsOf, maxReplyEntries)
	}
	r := &Reply{Process: process, Sequence: p.Sequence, AsOf: p.AsOf, Full: full, Changes: p.Changes, LeftOut: p.LeftOut, More: p.More}
	r.leaveOutTables()
	if e := w.newestTable(); e != nil {
		r.Table = &e.info
	}
	age, known := w.Age()
	if !known {
		age = unknownAge
	}
	r.Age = age
	r.Verified, r.VerifiedAgo = verified != 0, arrived-time.Duration(verified)
	if path := w.path.Load(); path != nil {
		r.Path = *path
	}
	r.Path = append(slices.Clip(r.Path), process)
	w.countReply(r)
	return r
}

// leaveOutTables removes the tables from the changes, since they are fetched in parts. In a full
// reply their keys count as left out, so that the requester keeps its own.
func (r *Reply) leaveOutTables() {
	r.Changes = slices.DeleteFunc(r.Changes, func(c catalog.Change) bool {
		if c.Table != nil && r.Full {
			r.LeftOut = append(r.LeftOut, c.Key)
		}
		return c.Table != nil
	})
}

func (w *Watcher) countReply(r *Reply) {
	scope := w.options.Scope
	scope.Counter("replies").Inc(1)
	scope.Counter("reply_entries").Inc(int64(len(r.Changes)))
	if r.Full {
		scope.Counter("full_replies").Inc(1)
	}
}
