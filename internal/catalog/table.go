package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Prepare validates the table, raises MaxAttempts of each route to at least 1 and builds the
// table's index. It must be called once before the table is used.
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
	return nil
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
