package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// batch is one message to one holder and the leaf calls that it requests.
type batch struct {
	run        *searchRun
	generation int
	host       Host
	sentAt     time.Duration
	// open contains the leaves whose result has not arrived.
	open       map[string]bool
	cancelLeaf atomic.Pointer[func(leaf string)]
	// stop cancels all calls of the batch.
	stop context.CancelFunc
}

// searchEvent is a result of one batch, or the error that ended the batch.
type searchEvent struct {
	batch  *batch
	result *wire.LeafResult
	// err is set if the batch ended without all of its results.
	err error
}

// send sends one batch to a holder.
func (run *searchRun) send(host Host, leaves []string) {
	run.attempts++
	b := &batch{
		run:        run,
		generation: run.generation,
		host:       host,
		sentAt:     run.now(),
		open:       make(map[string]bool, len(leaves)),
	}
	for _, leaf := range leaves {
		b.open[leaf] = true
		run.calls[leaf].batch = b
	}
	run.batches = append(run.batches, b)
	run.countSent(b)
	m := newScatter(run.request, attemptID(run.request.ID, run.attempts), run.collector.Pinned().Name, leaves)
	m.Permit = run.calls[leaves[0]].permit
	m.Known = run.searcher.screen.Known(run.request.Fingerprint)
	ctx, stop := context.WithCancel(run.ctx)
	b.stop = stop
	go b.scatter(ctx, m)
}

func (run *searchRun) countSent(b *batch) {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	for leaf := range b.open {
		run.state.stats(leaf, b.host.Name).Sent()
	}
}

func (b *batch) scatter(ctx context.Context, m *wire.Scatter) {
	defer b.stop()
	if err := b.run.searcher.holders.Scatter(ctx, b.host, m, b); err != nil {
		b.run.sendEvent(searchEvent{batch: b, err: err})
	}
}

// Started implements Receiver.
func (b *batch) Started(cancel func(leaf string)) { b.cancelLeaf.Store(&cancel) }

// Result implements Receiver.
func (b *batch) Result(r *wire.LeafResult) { b.run.sendEvent(searchEvent{batch: b, result: r}) }

// cancel cancels one leaf call whose answer is no longer needed.
func (b *batch) cancel(leaf string) {
	if cancel := b.cancelLeaf.Load(); cancel != nil {
		(*cancel)(leaf)
	}
}
