package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Prepare validates the table, raises MaxAttempts of each route to at least 1 and builds the
// table's indexes. It must be called once before the table is used.
func (t *Table) Prepare() error {
	t.byHost = map[string][]*Route{}
	for _, r := range t.Routes {
		if err := r.validate(); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.shards = shardPositions(t.Routes)
	var err error
	t.byCredential, t.byTenantName, err = indexTenants(t.Tenants)
	return err
}

// ShardPosition returns the position of a service among the shards of a route; it is zero for a
// service that is no shard.
func (t *Table) ShardPosition(service string) ShardPosition { return t.shards[service] }

// shardPositions returns the positions of all shards. If a service is a shard of several routes,
// the route with the first name decides.
func shardPositions(routes []*Route) map[string]ShardPosition {
	positions := map[string]ShardPosition{}
	for _, r := range slices.SortedFunc(slices.Values(routes), func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) }) {
		for rank, shard := range slices.Sorted(slices.Values(r.Shards)) {
			if _, known := positions[shard]; !known {
				positions[shard] = ShardPosition{Rank: rank, Of: len(r.Shards)}
			}
		}
	}
	return positions
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return fmt.Errorf("host is missing")
	case !strings.HasPrefix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not start with a slash", r.Prefix)
	case len(r.Shards) == 0 && len(r.WeightedServices) == 0:
		return fmt.Errorf("shards and services are missing")
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest one that the path starts
// with, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
