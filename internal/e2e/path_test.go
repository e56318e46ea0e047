package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	searchPath  = "/v1/customers/adom/services/dispatch/search"
	requestPath = "/v1/customers/adom/services/dispatch/requests"
)

// smallDocument returns a document with six leaves: three shards with a replica in
// each of two data centres.
func smallDocument() *document.Document {
	doc := &document.Document{
		Revision:    1,
		DataCentres: []document.DataCentre{{Name: "tema", Region: "accra"}, {Name: "madina", Region: "accra"}},
		Deployments: []document.Deployment{{
			Customer: "adom",
			Services: []document.Service{{
				Name:   "dispatch",
				Policy: document.Policy{Coverage: document.CoverageDeadline, DeadlineMS: 1000},
				Leaf:   document.LeafLimits{Slots: 2, Connections: 25},
				Instances: []document.Instance{
					{Name: "t1", DataCentre: "tema", Leaves: []document.Leaf{
						{Name: "t1-0", Shard: "s0"}, {Name: "t1-1", Shard: "s1"}, {Name: "t1-2", Shard: "s2"}}},
					{Name: "m1", DataCentre: "madina", Leaves: []document.Leaf{
						{Name: "m1-0", Shard: "s0"}, {Name: "m1-1", Shard: "s1"}, {Name: "m1-2", Shard: "s2"}}},
				},
			}},
		}},
	}
	doc.Normalize()
	return doc
}

func TestSearchAndRequestEndToEnd(t *testing.T) {
	snapshot := standin.NewSnapshot("1-first", 90, 3)
	c := start(t, 2, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, snapshot)
	for _, node := range c.nodes {
		a, err := node.post(searchPath+"?limit=1000", `{"text":"entry"}`, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, a.Message)
		require.Equal(t, "1-first", a.Snapshot)
		require.True(t, a.Coverage.Known)
		require.Equal(t, a.Coverage.Total, a.Coverage.Covered)
		require.Empty(t, a.Coverage.Missing)
		require.Len(t, a.Hits, 90)
	}
	ticket, err := c.nodes[0].post("/v1/tickets", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, ticket.Status)
	a, err := c.nodes[0].post(requestPath+"?key=k1", `{"note":"second pane"}`, map[string]string{"Idempotency-Key": ticket.Ticket})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, a.Message)
	require.Equal(t, "yes", a.Run)
	ran := 0
	for _, leaf := range c.leaves {
		for _, record := range leaf.Records() {
			if record.Ran && !record.Idempotent {
				ran++
			}
		}
	}
	require.Equal(t, 1, ran)
}
