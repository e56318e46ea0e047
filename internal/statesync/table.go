package statesync

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// partBytes is the size of a part of a table.
	partBytes = 16 << 10
	// partTimeout bounds the time to fetch one part. Within it a link of 20 Mbit/s sends one
	// part to each of 300 nodes.
	partTimeout = 2 * time.Second
	// tableSlice is how long parts are fetched before other changes are requested again.
	tableSlice = 300 * time.Millisecond
	// maxTableBytes bounds the size of a table, encoded and decoded.
	maxTableBytes = 8 << 20
)

// Errors of transfers of tables.
var (
	errTableUnusable = errors.New("table of the peer can't be decoded")
	errTableReplaced = errors.New("peer does not have the table any longer")
	errTableTooLarge = fmt.Errorf("table has more than %d bytes", maxTableBytes)
)

// TableInfo identifies an encoded table. Nodes that received the table from each other have
// equal encodings, so that a transfer can continue at another node.
type TableInfo struct {
	Key      string
	Revision uint64
	Version  int64
	// Bytes is the size of the encoded table, and Digest its SHA-256.
	Bytes  int
	Digest [sha256.Size]byte
}

// TableRequest requests a part of an encoded table.
type TableRequest struct {
	Digest [sha256.Size]byte
	Offset int
}

// TablePart is a part of an encoded table. It is empty if the node does not have the table.
type TablePart struct {
	Data []byte
}

// encodedTable is a table in compressed msgpack.
type encodedTable struct {
	info TableInfo
	data []byte
}

// tableMessage is the encoded form of a catalog.Table. Its services are in the order of their
// names, so that equal tables have equal encodings.
type tableMessage struct {
	Version  int64
	Routes   []*catalog.Route
	Services []*catalog.Service
	Limits   catalog.ClientLimits
	Tenants  []*catalog.Tenant
}

func encodeTable(change catalog.Change) (*encodedTable, error) {
	t := change.Table
	message := tableMessage{Version: t.Version, Routes: t.Routes, Limits: t.Limits, Tenants: t.Tenants}
	for _, s := range t.Services {
		message.Services = append(message.Services, s)
	}
	slices.SortFunc(message.Services, func(a, b *catalog.Service) int { return cmp.Compare(a.Name, b.Name) })
	payload, err := wire.Encode(&message)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxTableBytes {
		return nil, errTableTooLarge
	}
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(payload); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	info := TableInfo{Key: change.Key, Revision: change.Revision, Version: t.Version, Bytes: data.Len(), Digest: sha256.Sum256(data.Bytes())}
	return &encodedTable{info: info, data: data.Bytes()}, nil
}

func (e *encodedTable) decode() (catalog.Change, error) {
	if sha256.Sum256(e.data) != e.info.Digest {
		return catalog.Change{}, errors.New("table does not match its digest")
	}
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.data)), maxTableBytes+1))
	if err != nil {
		return catalog.Change{}, fmt.Errorf("decompress a table: %w", err)
	}
	if len(payload) > maxTableBytes {
		return catalog.Change{}, errTableTooLarge
	}
	var message tableMessage
	if err := wire.Decode(payload, &message); err != nil {
		return catalog.Change{}, err
	}
	if slices.Contains(message.Services, nil) || slices.Contains(message.Routes, nil) {
		return catalog.Change{}, errors.New("table has an empty service or route")
	}
	t := &catalog.Table{
		Version: message.Version, Routes: message.Routes, Limits: message.Limits, Tenants: message.Tenants,
		Services: make(map[string]*catalog.Service, len(message.Services)),
	}
	for _, s := range message.Services {
		t.Services[s.Name] = s
	}
	return catalog.Change{Key: e.info.Key, Revision: e.info.Revision, Table: t}, nil
}

// ServeTable serves a request of another node for a part of a table.
func (w *Watcher) ServeTable(req *TableRequest) *TablePart {
	w.encodedMu.Lock()
	defer w.encodedMu.Unlock()
	for _, e := range w.encoded {
		if e == nil || e.info.Digest != req.Digest || req.Offset < 0 || req.Offset >= len(e.data) {
			continue
		}
		part := e.data[req.Offset:min(len(e.data), req.Offset+partBytes)]
		w.options.Scope.Counter("table_parts").Inc(1)
		w.options.Scope.Counter("table_bytes").Inc(int64(len(part)))
		return &TablePart{Data: part}
	}
	return new(TablePart)
}

// newestTable returns the newest table of the catalog, encoded, or nil if there is none.
func (w *Watcher) newestTable() *encodedTable {
	change := w.options.Catalog.NewestTable()
	if change.Table == nil {
		return nil
	}
	w.encodedMu.Lock()
	defer w.encodedMu.Unlock()
	if e := w.encoded[0]; e != nil && !e.info.olderThan(change) {
		return e
	}
	e, err := encodeTable(change)
	if err != nil {
		w.options.Logger.Error("table can't be sent to peers", zap.Int64("version", change.Table.Version), zap.Error(err))
		return nil
	}
	w.keepEncoded(e)
	return e
}

// keepEncoded keeps an encoded table for other nodes. The one before is kept too, so that
// nodes that are fetching it can go on. encodedMu must be held.
func (w *Watcher) keepEncoded(e *encodedTable) { w.encoded = [2]*encodedTable{e, w.encoded[0]} }

// lacks reports whether a table is newer than that of the catalog, and the catalog has not
// rejected it.
func (w *Watcher) lacks(info *TableInfo) bool {
	if info == nil || info.Digest == w.rejected {
		return false
	}
	newest := w.options.Catalog.NewestTable()
	if newest.Table == nil || info.Version != newest.Table.Version {
		return newest.Table == nil || info.Version > newest.Table.Version
	}
	return info.Revision > newest.Revision
}

// olderThan reports whether the encoded table is older than that of a change: by its version, since
// a new era of the history can begin with an older table, and then by its revision.
func (i *TableInfo) olderThan(change catalog.Change) bool {
	if i.Version != change.Table.Version {
		return i.Version < change.Table.Version
	}
	return i.Revision < change.Revision
}

// fetchTable fetches parts of a table from a peer, for at most tableSlice, and applies the
// table once it is complete. A transfer that has begun goes on, also at another peer, even if
// there is a newer table, so that tables in quick succession do not keep a node from all of them.
func (w *Watcher) fetchTable(ctx context.Context, address string, newest *TableInfo) error {
	switch {
	case newest.Digest == w.undecodable:
		return errTableUnusable
	case newest.Bytes <= 0 || newest.Bytes > maxTableBytes:
		return errTableTooLarge
	}
	if w.download == nil || !w.lacks(&w.download.info) {
		w.startDownload(newest)
	}
	end := w.now() + tableSlice
	for w.now() < end {
		err := w.fetchPart(ctx, address)
		if errors.Is(err, errTableReplaced) && w.download.info.Digest != newest.Digest {
			w.startDownload(newest)
			continue
		}
		if err != nil {
			return err
		}
		if len(w.download.data) == w.download.info.Bytes {
			return w.finishDownload(address)
		}
	}
	return nil
}

func (w *Watcher) startDownload(info *TableInfo) {
	w.download = &encodedTable{info: *info}
	w.downloadStart = w.now()
}

func (w *Watcher) fetchPart(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	d := w.download
	part, err := w.options.Peers.FetchTable(ctx, address, &TableRequest{Digest: d.info.Digest, Offset: len(d.data)})
	if err != nil {
		return err
	}
	if len(part.Data) == 0 || len(d.data)+len(part.Data) > d.info.Bytes {
		return errTableReplaced
	}
	d.data = append(d.data, part.Data...)
	return nil
}

// finishDownload applies the table that has been fetched.
func (w *Watcher) finishDownload(address string) error {
	d := w.download
	w.download = nil
	change, err := d.decode()
	if err != nil {
		w.undecodable = d.info.Digest
		return err
	}
	w.options.Logger.Info("table fetched", zap.String("source", address), zap.Int64("version", change.Table.Version),
		zap.Int("bytes", d.info.Bytes), zap.Duration("within", w.now()-w.downloadStart))
	w.deferTables()
	// Changes before the table may be missing, so that the revision up to which the catalog is
	// complete stays as it is.
	w.report(w.options.Catalog.Merge(w.now(), []catalog.Change{change}, 0), change.Revision)
	if w.lacks(&d.info) {
		w.rejected = d.info.Digest
		return nil
	}
	w.encodedMu.Lock()
	defer w.encodedMu.Unlock()
	if e := w.encoded[0]; e == nil || e.info.olderThan(change) {
		w.keepEncoded(d)
	}
	return nil
}
