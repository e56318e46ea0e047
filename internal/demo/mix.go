package demo

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	// searchLimit is the number of hits that a search requests.
	searchLimit = 20
	searchText  = "entry"
)

// Mix returns a stream for each class of each service of a document, all with
// equal weight.
func Mix(doc *document.Document) []loadgen.Stream {
	var mix []loadgen.Stream
	for _, service := range document.NewIndex(doc).Services() {
		for _, class := range service.Policy.Classes {
			mix = append(mix, loadgen.Stream{
				Customer: service.Customer,
				Service:  service.Name,
				Class:    class,
				Weight:   1,
				Body:     searchBody(),
				Limit:    searchLimit,
				Shards:   len(service.Shards),
			})
		}
	}
	return mix
}

func searchBody() string {
	body, _ := json.Marshal(standin.Query{Text: searchText, Limit: searchLimit})
	return string(body)
}

// WithSubmits returns the mix with a share of the weight of each stream moved to a
// stream of requests that must run at most once.
func WithSubmits(mix []loadgen.Stream, share float64) []loadgen.Stream {
	if share <= 0 {
		return mix
	}
	var both []loadgen.Stream
	for _, stream := range mix {
		submit := stream
		submit.Submit = true
		submit.Body = `{"note":"second pane"}`
		submit.Shards = 1
		submit.Weight *= share
		stream.Weight *= 1 - share
		both = append(both, stream, submit)
	}
	return both
}

// checker checks answers to the searches of Mix against the stand-in data.
type checker struct {
	// keys holds the keys of all entries in ascending order, which is the order of
	// their scores.
	keys []uint32
}

func newChecker(entries int) *checker {
	c := &checker{}
	for _, e := range standin.NewSnapshot("check", entries, 1).Entries {
		c.keys = append(c.keys, e.Key)
	}
	return c
}

// check returns an error if a hit is a duplicate or belongs to another snapshot than
// the answer, or if an answer with full coverage does not have the best hits.
func (c *checker) check(a *loadgen.Answer) error {
	seen := map[string]bool{}
	var keys []uint32
	for _, hit := range a.Hits {
		var text string
		if err := json.Unmarshal(hit.Body, &text); err != nil {
			return fmt.Errorf("answer to %q: hit %q: %w", a.RequestID, hit.ID, err)
		}
		if text != standin.EntryText(a.Snapshot, hit.ID) {
			return fmt.Errorf("answer to %q of snapshot %q has a hit with text %q", a.RequestID, a.Snapshot, text)
		}
		if seen[hit.ID] {
			return fmt.Errorf("answer to %q has hit %q twice", a.RequestID, hit.ID)
		}
		seen[hit.ID] = true
		keys = append(keys, standin.Key(hit.ID))
	}
	expected := c.keys[:min(searchLimit, len(c.keys))]
	if a.Coverage.Full() && !slices.Equal(keys, expected) {
		return fmt.Errorf("answer to %q has full coverage but its hits are not the best %d", a.RequestID, len(expected))
	}
	return nil
}
