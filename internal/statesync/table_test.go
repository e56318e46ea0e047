package statesync_test

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
)

// scriptedPeers implements statesync.Peers by functions.
type scriptedPeers struct {
	changes func(address string) (*statesync.Reply, error)
	table   func(address string, req *statesync.TableRequest) (*statesync.TablePart, error)
}

func (p scriptedPeers) FetchChanges(_ context.Context, address string, _ *statesync.Request) (*statesync.Reply, error) {
	time.Sleep(10 * time.Millisecond)
	return p.changes(address)
}

func (p scriptedPeers) FetchTable(_ context.Context, address string, req *statesync.TableRequest) (*statesync.TablePart, error) {
	time.Sleep(20 * time.Millisecond)
	return p.table(address, req)
}

func newWatcher(name string, store *fakeStore, peers statesync.Peers, c *catalog.Catalog) *statesync.Watcher {
	return statesync.NewWatcher(statesync.Options{
		Process: name, Store: nodeStore{store, name}, Peers: peers, Catalog: c, OnChange: func() {},
		Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
	})
}

// tableSource returns a node whose catalog holds a table, and the table.
func tableSource(t *testing.T, routes int) (*statesync.Watcher, *catalog.Table) {
	store := newFakeStore()
	store.putTable(2, routes)
	c := catalog.New()
	w := newWatcher("source", store, scriptedPeers{}, c)
	go func() { _ = w.Run(t.Context()) }()
	time.Sleep(time.Second)
	return w, c.View().Table
}

// TestTableTransferGoesOnAtAnotherPeer guards against a transfer that starts over when the
// peer fails, so that a table never arrives where peers fail often.
func TestTableTransferGoesOnAtAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, table := tableSource(t, 6000)
		received, calls, offsets := 0, map[string]int{}, map[int]int{}
		peers := scriptedPeers{
			changes: func(string) (*statesync.Reply, error) {
				return source.ServeChanges(t.Context(), &statesync.Request{}), nil
			},
			table: func(address string, req *statesync.TableRequest) (*statesync.TablePart, error) {
				if calls[address]++; calls[address]%3 == 0 {
					return nil, errRefused
				}
				offsets[req.Offset]++
				part := source.ServeTable(req)
				received += len(part.Data)
				return part, nil
			},
		}
		c, store := catalog.New(), newFakeStore()
		store.setFault(func(string) fault { return refuse })
		w := newWatcher("follower", store, peers, c)
		w.SetUpstream([]string{"a", "b", "c"}, false)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }()
		time.Sleep(8 * time.Second)
		cancel()
		time.Sleep(5 * time.Second)
		assert.True(t, reflect.DeepEqual(table, c.View().Table), "the table has arrived as it was")
		assert.Equal(t, 5, exportedFields(table), "each field of a table is encoded")
		size := source.ServeChanges(t.Context(), &statesync.Request{}).Table.Bytes
		assert.Equal(t, size, received, "no part was received twice")
	})
}

func exportedFields(t *catalog.Table) (n int) {
	for _, f := range reflect.VisibleFields(reflect.TypeOf(*t)) {
		if f.IsExported() {
			n++
		}
	}
	return n
}

// TestUnknownTableIsNotServed covers requests for a table that a node does not have, as of a
// follower that goes on with a transfer at a node that has restarted.
func TestUnknownTableIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fresh := newWatcher("fresh", newFakeStore(), scriptedPeers{}, catalog.New())
		assert.Empty(t, fresh.ServeTable(new(statesync.TableRequest)).Data)
		source, _ := tableSource(t, 10)
		info := source.ServeChanges(t.Context(), &statesync.Request{}).Table
		assert.Len(t, source.ServeTable(&statesync.TableRequest{Digest: info.Digest}).Data, info.Bytes)
		for _, offset := range []int{-1, info.Bytes, 1 << 40} {
			assert.Empty(t, source.ServeTable(&statesync.TableRequest{Digest: info.Digest, Offset: offset}).Data)
		}
		assert.Empty(t, source.ServeTable(new(statesync.TableRequest)).Data)
	})
}

// TestInvalidTableFromPeerIsNotUsed guards against a peer whose table can't be used: it does not
// end the process, and is not fetched again and again.
func TestInvalidTableFromPeerIsNotUsed(t *testing.T) {
	compress := func(payload []byte) []byte {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		require.NoError(t, err)
		_, err = w.Write(payload)
		require.NoError(t, err)
		require.NoError(t, w.Close())
		return b.Bytes()
	}
	valid := compress([]byte{0x95, 7, 0xc0, 0xc0, 0x92, 0, 0, 0xc0})
	cases := []struct {
		name   string
		data   []byte
		info   func(*statesync.TableInfo)
		calls  int
		usable bool
	}{
		{"valid", valid, func(*statesync.TableInfo) {}, 1, true},
		{"other digest", valid, func(i *statesync.TableInfo) { i.Digest[0]++ }, 1, false},
		{"empty services and routes", compress([]byte{0x95, 7, 0x91, 0xc0, 0x91, 0xc0, 0x92, 0, 0, 0xc0}), func(*statesync.TableInfo) {}, 1, false},
		{"not compressed", []byte{0x94, 7}, func(*statesync.TableInfo) {}, 1, false},
		{"not msgpack", compress([]byte{0xc1}), func(*statesync.TableInfo) {}, 1, false},
		{"expands without bound", compress(make([]byte, 64<<20)), func(*statesync.TableInfo) {}, 100, false},
		{"too large", valid, func(i *statesync.TableInfo) { i.Bytes = 1 << 40 }, 0, false},
		{"no size", valid, func(i *statesync.TableInfo) { i.Bytes = 0 }, 0, false},
		{"longer than announced", valid, func(i *statesync.TableInfo) { i.Bytes = 3 }, 20, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				info := statesync.TableInfo{Key: "table", Revision: 9, Bytes: len(c.data), Digest: sha256.Sum256(c.data)}
				c.info(&info)
				calls := 0
				peers := scriptedPeers{
					changes: func(string) (*statesync.Reply, error) {
						return &statesync.Reply{Process: "p", Sequence: 1, AsOf: 9, Path: []string{"p"}, Table: &info}, nil
					},
					table: func(_ string, req *statesync.TableRequest) (*statesync.TablePart, error) {
						calls++
						return &statesync.TablePart{Data: c.data[req.Offset:min(len(c.data), req.Offset+16<<10)]}, nil
					},
				}
				catalog, store := catalog.New(), newFakeStore()
				store.setFault(func(string) fault { return refuse })
				w := newWatcher("follower", store, peers, catalog)
				w.SetUpstream([]string{"a"}, false)
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = w.Run(ctx) }()
				time.Sleep(5 * time.Second)
				cancel()
				time.Sleep(5 * time.Second)
				assert.Equal(t, c.usable, catalog.View().Table != nil)
				assert.Equal(t, c.usable, catalog.View().AsOf > 0, "complete without the table")
				assert.LessOrEqual(t, calls, c.calls)
			})
		})
	}
}
