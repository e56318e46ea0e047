package statesync_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
)

// slowStore answers late: it takes the state before the delay.
type slowStore struct {
	nodeStore
	delay time.Duration
}

func (s slowStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	u, err := s.nodeStore.Watch(ctx, after, wait)
	time.Sleep(s.delay)
	return u, err
}

// slowPeer passes requests on to a watcher and its replies back late.
type slowPeer struct {
	watcher             **statesync.Watcher
	requestIn, replyOut time.Duration
}

func (p slowPeer) FetchChanges(ctx context.Context, _ string, req *statesync.Request) (*statesync.Reply, error) {
	time.Sleep(p.requestIn)
	r := (*p.watcher).ServeChanges(ctx, req)
	time.Sleep(p.replyOut)
	return r, nil
}

func (p slowPeer) FetchTable(context.Context, string, *statesync.TableRequest) (*statesync.TablePart, error) {
	return new(statesync.TablePart), nil
}

// clock is a clock with an offset that counts suspensions, unlike that of package time.
type clock struct {
	begin     time.Time
	offset    time.Duration
	suspended atomic.Int64
}

func (c *clock) now() time.Duration {
	return time.Since(c.begin) + c.offset + time.Duration(c.suspended.Load())
}

// TestVerifiedAgeIsNeverTooShort writes an entry and checks, for nodes that hear of it late in every
// way, that none of them that lacks the entry states an age that is less than the time since the
// write.
func TestVerifiedAgeIsNeverTooShort(t *testing.T) {
	cases := map[string]struct{ store, requestIn, replyOut time.Duration }{
		"fast":          {},
		"slow store":    {store: 400 * time.Millisecond},
		"slow requests": {requestIn: 300 * time.Millisecond},
		"slow replies":  {replyOut: 300 * time.Millisecond},
		"all slow":      {400 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := newFakeStore()
				store.put("a", true)
				newNode := func(name string, peer *statesync.Watcher, offset time.Duration) (*statesync.Watcher, *catalog.Catalog) {
					clk, cat := &clock{begin: time.Now(), offset: offset}, catalog.New()
					w := statesync.NewWatcher(statesync.Options{
						Process: name, Store: slowStore{nodeStore{store, name}, c.store}, Peers: slowPeer{&peer, c.requestIn, c.replyOut},
						Catalog: cat, OnChange: func() {}, BootTime: clk.now, MaxWatchWait: time.Second,
						Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
					})
					if peer != nil {
						w.SetUpstream([]string{"peer"}, false)
					}
					go func() { _ = w.Run(ctx) }()
					return w, cat
				}
				root, rootCatalog := newNode("root", nil, time.Hour)
				child, childCatalog := newNode("child", root, 3*time.Hour)
				grandchild, grandchildCatalog := newNode("grandchild", child, 2*time.Hour)
				time.Sleep(5 * time.Second)
				for i := range 100 {
					written, present := time.Now(), i%2 == 0
					store.put("b", present)
					// The writes fall into all phases of the watches.
					for range 20 + i*13%47 {
						time.Sleep(50 * time.Millisecond)
						for _, n := range []struct {
							name    string
							watcher *statesync.Watcher
							catalog *catalog.Catalog
						}{{"root", root, rootCatalog}, {"child", child, childCatalog}, {"grandchild", grandchild, grandchildCatalog}} {
							age, known := n.watcher.VerifiedAge()
							if hasEntry := len(n.catalog.View().Leaves["s"]) == 2; known && hasEntry != present {
								assert.Greater(t, age, time.Since(written), n.name)
							}
							if name == "fast" {
								assert.Less(t, age, 3500*time.Millisecond, "%s in calm", n.name)
							}
						}
					}
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestVerifiedAgeCountsSuspension suspends a host: its monotonic clock stands still, but what it
// knows grows old.
func TestVerifiedAgeCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put("a", true)
		clk := &clock{begin: time.Now(), offset: time.Hour}
		w := statesync.NewWatcher(statesync.Options{
			Process: "n", Store: nodeStore{store, "n"}, Catalog: catalog.New(), OnChange: func() {}, BootTime: clk.now,
			Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
		})
		_, known := w.VerifiedAge()
		assert.False(t, known)
		go func() { _ = w.Run(ctx) }()
		time.Sleep(3 * time.Second)
		store.setFault(func(string) fault { return hang })
		clk.suspended.Add(int64(time.Minute))
		age, known := w.VerifiedAge()
		assert.True(t, known)
		assert.GreaterOrEqual(t, age, time.Minute)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
