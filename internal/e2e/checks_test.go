package e2e

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// takeEffectLimit is the time within which a change must take effect.
const takeEffectLimit = 3 * time.Second

// startedRequests returns the records of the requests that leaves have begun to run,
// by request body.
func (c *cluster) startedRequests() map[string][]standin.Record {
	all := map[string][]standin.Record{}
	for _, leaf := range c.leaves {
		for _, r := range leaf.Records() {
			if r.Snapshot != "" {
				all[r.Body] = append(all[r.Body], r)
			}
		}
	}
	return all
}

// requireNotRunIsTrue checks, for every refusal that reports its request as not run,
// that no leaf began to run the request before the refusal arrived. It returns the
// number of these refusals.
func (c *cluster) requireNotRunIsTrue(exchanges []exchange) int {
	c.t.Helper()
	startedRequests := c.startedRequests()
	refused := 0
	for _, e := range exchanges {
		if e.err != nil || e.answer.Run != "no" {
			continue
		}
		refused++
		for _, r := range startedRequests[e.body] {
			require.False(c.t, r.Start.Before(e.done), "%s reported not run, but %s ran at %s: %s", e.node.settings.Name, e.body, r.Start, e.answer.Message)
		}
	}
	return refused
}

// requireOneSnapshot checks that all hits are of the answer's snapshot, without
// duplicates, and that an answer that reports full coverage has every entry.
func (c *cluster) requireOneSnapshot(a *answer, entries int) {
	c.t.Helper()
	ids := map[string]bool{}
	for _, hit := range a.Hits {
		require.True(c.t, strings.HasPrefix(hit.Body, a.Snapshot+" text of "+hit.ID), "hit %q in an answer of %s", hit.Body, a.Snapshot)
		require.False(c.t, ids[hit.ID], "duplicate hit %s", hit.ID)
		ids[hit.ID] = true
	}
	if a.Coverage.Known && a.Coverage.Covered == a.Coverage.Total {
		require.Len(c.t, a.Hits, entries, "answer of %s that reports full coverage", a.Snapshot)
	}
}

// requireFullCoverage checks that every exchange has status 200 and full coverage.
func (c *cluster) requireFullCoverage(exchanges []exchange) {
	c.t.Helper()
	for _, e := range exchanges {
		require.NoError(c.t, e.err, e.node.settings.Name)
		require.Equal(c.t, http.StatusOK, e.answer.Status, "%s: %s: %s", e.node.settings.Name, e.answer.Kind, e.answer.Message)
		require.Equal(c.t, e.answer.Coverage.Total, e.answer.Coverage.Covered, "%s: %v", e.node.settings.Name, e.answer.Coverage.Missing)
	}
}

// requireNoRequestsAfter checks that no request started at the leaves after limit.
func (c *cluster) requireNoRequestsAfter(leaves []string, limit time.Time) {
	c.t.Helper()
	for _, name := range leaves {
		for _, r := range c.leaves[name].Records() {
			require.False(c.t, r.Start.After(limit), "leaf %s received request %s %s after the limit", name, r.RequestID, r.Start.Sub(limit))
		}
	}
}

// leavesIn returns the leaves of a data centre.
func (c *cluster) leavesIn(dataCentre string) []string {
	var names []string
	for _, instance := range c.doc.Deployments[0].Services[0].Instances {
		if instance.DataCentre == dataCentre {
			for _, leaf := range instance.Leaves {
				names = append(names, leaf.Name)
			}
		}
	}
	return names
}

// requireWithinLimits checks that no leaf has ever exceeded its limits.
func (c *cluster) requireWithinLimits() {
	c.t.Helper()
	index := document.NewIndex(c.doc)
	for name, leaf := range c.leaves {
		limits := index.Leaf(index.LeafID(name)).Service.Limits
		counts := leaf.Counts()
		require.LessOrEqual(c.t, counts.MaxConcurrent, limits.Slots, "slots of leaf %s", name)
		require.LessOrEqual(c.t, counts.MaxCold, limits.ColdSlots, "cold slots of leaf %s", name)
		require.LessOrEqual(c.t, counts.MaxConnections, limits.Connections, "connections of leaf %s", name)
	}
}

// sortedLeaves returns the leaves in the order of their names.
func (c *cluster) sortedLeaves() []*standin.Leaf {
	var leaves []*standin.Leaf
	for _, name := range slices.Sorted(maps.Keys(c.leaves)) {
		leaves = append(leaves, c.leaves[name])
	}
	return leaves
}
