package relay

import "github.com/redwingshelf/redwingshelf/internal/leafconn"

// AnswerBytes returns the total size of the answer bodies that are held.
func (b *Backends) AnswerBytes() int64 { return b.memory.Used() }

// SetAnswerBytes sets the limit for answer bodies. It must be called before any connection is
// opened.
func (b *Backends) SetAnswerBytes(limit int64) {
	b.memory = leafconn.NewMemory(limit)
	for _, s := range *b.byName.Load() {
		for id := range s.pools {
			s.pools[id].pool.Close()
			delete(s.pools, id)
		}
	}
	b.Update()
}
