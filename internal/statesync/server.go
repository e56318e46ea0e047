package statesync

import (
	"context"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// maxWait bounds the wait of a question.
const maxWait = 5 * time.Second

// Answer answers the question of another node. It waits for changes as long as the
// question allows.
func (w *Watcher) Answer(ctx context.Context, q *Question) *Reply {
	c, process := w.options.Catalog, w.options.Process
	timer := time.NewTimer(min(q.Wait, maxWait))
	defer timer.Stop()
	for {
		sequence, next := c.Watch()
		if q.Process != process || q.Sequence < sequence || w.behind(q.Asker) {
			return w.reply(process, q, c)
		}
		select {
		case <-next:
		case <-timer.C:
			return w.reply(process, q, c)
		case <-ctx.Done():
			return w.reply(process, q, c)
		}
	}
}

// behind reports whether an asker would pass over what this node knows.
func (w *Watcher) behind(asker string) bool {
	var path []string
	if p := w.path.Load(); p != nil {
		path = *p
	}
	age, known := w.Age()
	return !known || age > ageLimit(len(path)+1) || slices.Contains(path, asker)
}

// ageLimit bounds the age of what a peer knows by the number of nodes on its way from
// the store, the peer included.
func ageLimit(nodes int) time.Duration { return ageSlack + time.Duration(nodes-1)*agePerNode }

func (w *Watcher) reply(process string, q *Question, c *catalog.Catalog) *Reply {
	after := q.Sequence
	full := q.Process != process
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
	return r
}
