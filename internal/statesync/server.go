package statesync

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// maxWait bounds the time for which a request waits for changes.
const maxWait = 5 * time.Second

// ServeChanges serves a request of another node. It waits for changes for at most
// MaxWait of the request.
func (w *Watcher) ServeChanges(ctx context.Context, req *Request) *Reply {
	c, process := w.options.Catalog, w.options.Process
	timer := time.NewTimer(min(req.MaxWait, maxWait))
	defer timer.Stop()
	for {
		sequence, next := c.Watch()
		if req.Process != process || req.Sequence < sequence || w.unusableFor(req.Requester) {
			return w.reply(process, req, c)
		}
		select {
		case <-next:
		case <-timer.C:
			return w.reply(process, req, c)
		case <-ctx.Done():
			return w.reply(process, req, c)
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

func (w *Watcher) reply(process string, req *Request, c *catalog.Catalog) *Reply {
	after := req.Sequence
	full := req.Process != process
	if full {
		after = 0
	}
	r := &Reply{Process: process, Full: full}
	r.Changes, r.Sequence, r.AsOf = c.Since(after)
	age, known := w.Age()
	if !known {
		age = unknownAge
	}
	r.Age = age
	if path := w.path.Load(); path != nil {
		r.Path = *path
	}
	r.Path = append(slices.Clip(r.Path), process)
	w.reportReply(req, r)
	return r
}

// reportReply counts the replies to other nodes, and logs those that carry a table or all
// entries.
func (w *Watcher) reportReply(req *Request, r *Reply) {
	scope := w.options.Scope
	scope.Counter("replies").Inc(1)
	scope.Counter("reply_entries").Inc(int64(len(r.Changes)))
	table := slices.ContainsFunc(r.Changes, func(c catalog.Change) bool { return c.Table != nil })
	if table {
		scope.Counter("reply_tables").Inc(1)
	}
	if r.Full {
		scope.Counter("full_replies").Inc(1)
	}
	if !table && !r.Full {
		return
	}
	w.options.Logger.Info("large reply to a peer", zap.String("peer", req.Requester), zap.Bool("full", r.Full),
		zap.Bool("table", table), zap.Int("entries", len(r.Changes)), zap.Uint64("as_of", r.AsOf), zap.Duration("age", r.Age))
}
