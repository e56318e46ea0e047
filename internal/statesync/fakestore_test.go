package statesync_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]catalog.Change
	log      []catalog.Change
	revision uint64
	oldest   uint64
	changed  chan struct{}
	calls    int
	// fault returns the fault for a call of a node.
	fault func(node string) fault
}

type fault uint8

const (
	none fault = iota
	refuse
	hang
)

var errRefused = errors.New("status 503")

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]catalog.Change{}, changed: make(chan struct{}), fault: func(string) fault { return none }}
}

func (h *fakeStore) setFault(f func(node string) fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

func (h *fakeStore) callCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

// put writes the entry of a leaf of service s, or removes it.
func (h *fakeStore) put(id string, present bool) { h.putLeaf(id, "s", present) }

// putLeaf writes the entry of a leaf, or removes it.
func (h *fakeStore) putLeaf(id, service string, present bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	c := catalog.Change{Key: id, Revision: h.revision}
	if present {
		c.Leaf = &catalog.Leaf{ID: id, Service: service, Address: "127.0.0.1:1", DataCentre: "z", Slots: 1, Sequence: int64(h.revision)}
		h.entries[id] = c
	} else {
		delete(h.entries, id)
	}
	h.log = append(h.log, c)
	close(h.changed)
	h.changed = make(chan struct{})
}

// forget drops the history.
func (h *fakeStore) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log, h.oldest = nil, h.revision
}

// nodeStore is the store as seen by one node.
type nodeStore struct {
	fakeStore *fakeStore
	node      string
}

func (v nodeStore) enter(ctx context.Context) error {
	v.fakeStore.mu.Lock()
	v.fakeStore.calls++
	f := v.fakeStore.fault(v.node)
	v.fakeStore.mu.Unlock()
	switch f {
	case refuse:
		return errRefused
	case hang:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (v nodeStore) Snapshot(ctx context.Context, answerWithin time.Duration) (*catalog.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	v.fakeStore.mu.Lock()
	defer v.fakeStore.mu.Unlock()
	s := &catalog.Snapshot{AsOf: v.fakeStore.revision}
	for _, e := range v.fakeStore.entries {
		s.Entries = append(s.Entries, e)
	}
	return s, nil
}

func (v nodeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+600*time.Millisecond)
	defer cancel()
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, changed, err := v.fakeStore.since(after)
		if err != nil || len(u.Changes) > 0 {
			return u, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return u, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *fakeStore) since(after uint64) (*catalog.Update, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.oldest {
		return nil, nil, statesync.ErrHistoryLost
	}
	u := &catalog.Update{From: after, AsOf: h.revision}
	for _, c := range h.log {
		if c.Revision > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, h.changed, nil
}

// putTable writes a table with a number of routes.
func (h *fakeStore) putTable(version int64, routes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	t := &catalog.Table{Version: version, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConns: 25, WarmupPerSecond: 1.5}}}
	t.Limits = catalog.ClientLimits{BodyBytes: 1 << 20, IdleTimeout: time.Minute}
	for i := range routes {
		// The names on the wire are random, so that a route takes about 80 bytes.
		name := fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)
		t.Routes = append(t.Routes, &catalog.Route{
			Name: "r-" + name[:8], Host: name[8:14] + ".example", Prefix: "/" + name[4:12] + "/", Idempotent: true,
			Timeout: 2500 * time.Millisecond, Objective: 250 * time.Millisecond, MaxAttempts: 3,
			WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	change := catalog.Change{Key: "table", Revision: h.revision, Table: t}
	h.entries[change.Key] = change
	h.log = append(h.log, change)
	close(h.changed)
	h.changed = make(chan struct{})
}
