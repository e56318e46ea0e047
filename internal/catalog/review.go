package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Review returns what in a valid table can have no effect or contradicts itself, in a fixed order.
func (t *Table) Review() []string {
	var findings []string
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	names, places := map[string]bool{}, map[string]string{}
	for _, r := range t.Routes {
		if names[r.Name] {
			add("route %q exists twice", r.Name)
		}
		names[r.Name] = true
		place := strings.ToLower(r.Host) + r.Prefix
		if first, taken := places[place]; taken {
			add("route %q can never match: route %q has the same host and prefix", r.Name, first)
			continue
		}
		places[place] = r.Name
		t.reviewRoute(r, add)
	}
	used := t.services()
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		switch {
		case !used[name]:
			add("service %q is used by no route", name)
		case s.MaxConns < 1:
			add("service %q accepts no connection", name)
		}
	}
	for _, tenant := range t.Tenants {
		t.reviewTenant(tenant, add)
	}
	return findings
}

// reviewRoute adds the findings about a route.
func (t *Table) reviewRoute(r *Route, add func(string, ...any)) {
	weight := 0.0
	services := slices.Clone(r.Shards)
	for _, s := range r.WeightedServices {
		weight += max(s.Weight, 0)
		services = append(services, s.Service)
	}
	slices.Sort(services)
	for i, name := range services {
		if t.Services[name] == nil {
			add("route %q names service %q, which does not exist", r.Name, name)
		}
		if i > 0 && services[i-1] == name {
			add("route %q names service %q twice", r.Name, name)
		}
	}
	switch {
	case len(r.Shards) > 0 && len(r.WeightedServices) > 0:
		add("route %q has shards, so its other services get no request", r.Name)
	case len(r.Shards) == 0 && weight == 0:
		add("route %q can serve no request: all weights are zero", r.Name)
	}
	switch {
	case len(r.Shards) > 0 && !r.Idempotent:
		add("route %q is gathered and not idempotent: its requests may run more than once", r.Name)
	case len(r.Shards) > 0 && r.TopK < 1:
		add("route %q is gathered and returns no records", r.Name)
	}
	if r.MinCoverage < 0 || r.MinCoverage > 1 {
		add("route %q needs a coverage of %v, which is not between 0 and 1", r.Name, r.MinCoverage)
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		add("route %q has an objective of %v, more than its timeout of %v", r.Name, r.Objective, r.Timeout)
	}
	if r.Open && len(t.Tenants) == 0 {
		add("route %q is open, but no route needs a key without tenants", r.Name)
	}
}

// reviewTenant adds the findings about a tenant.
func (t *Table) reviewTenant(tenant *Tenant, add func(string, ...any)) {
	switch {
	case len(tenant.Credentials) == 0:
		add("tenant %q has no key, so it can send no request", tenant.Name)
	case tenant.Limited() && tenant.Burst < 1:
		add("tenant %q has a burst of %v, less than one request", tenant.Name, tenant.Burst)
	case !tenant.Limited() && tenant.Burst > 0:
		add("tenant %q has a burst of %v but no rate, so it has no limit", tenant.Name, tenant.Burst)
	}
	if tenant.HasPriority && slices.ContainsFunc(t.Routes, func(r *Route) bool { return !r.Open && r.Priority < tenant.Priority }) {
		add("tenant %q lowers the priority of routes to %d", tenant.Name, tenant.Priority)
	}
}

// Changes returns what differs between two tables, and which requests it touches: "+" for what is
// added, "-" for what is removed and "~" for what changes. Keys are counted, never shown.
func (t *Table) Changes(next *Table) []string {
	var changes []string
	add := func(format string, args ...any) { changes = append(changes, fmt.Sprintf(format, args...)) }
	if t.Limits != next.Limits {
		add("~ limits of all callers: %+v, before %+v", next.Limits, t.Limits)
	}
	compareNamed(add, "route", "all requests to it are refused with 404", named(t.Routes, routeName), named(next.Routes, routeName),
		func(r *Route) string { return fmt.Sprintf("requests to %s%s", r.Host, r.Prefix) })
	compareNamed(add, "service", "its leaves get no requests", t.Services, next.Services,
		func(*Service) string { return "requests of the routes that use it" })
	compareNamed(add, "tenant", "all its requests are refused with 401", named(t.Tenants, tenantName), named(next.Tenants, tenantName),
		func(tenant *Tenant) string { return fmt.Sprintf("requests with its %d keys", len(tenant.Credentials)) })
	before := named(t.Tenants, tenantName)
	for _, tenant := range next.Tenants {
		if old := before[tenant.Name]; old != nil {
			if gone := missing(old.Credentials, tenant.Credentials); gone > 0 {
				add("- %d keys of tenant %q: requests with them are refused with 401", gone, tenant.Name)
			}
		}
	}
	if next.Version < t.Version || next.Version == t.Version && len(changes) > 0 {
		add("~ version %d is not above %d: nodes ignore the new table", next.Version, t.Version)
	}
	return changes
}

func routeName(r *Route) string   { return r.Name }
func tenantName(t *Tenant) string { return t.Name }

func named[T any](list []*T, name func(*T) string) map[string]*T {
	byName := make(map[string]*T, len(list))
	for _, item := range list {
		byName[name(item)] = item
	}
	return byName
}

// missing returns how many credentials of a are not in b.
func missing(a, b []Credential) int {
	n := 0
	for _, c := range a {
		if !slices.Contains(b, c) {
			n++
		}
	}
	return n
}

// compareNamed adds the differences between two sets of named things.
func compareNamed[T any](add func(string, ...any), what, removal string, before, after map[string]*T, touches func(*T) string) {
	names := slices.Compact(slices.SortedFunc(maps.Keys(merged(before, after)), cmp.Compare[string]))
	for _, name := range names {
		old, next := before[name], after[name]
		switch {
		case old == nil:
			add("+ %s %q: %s", what, name, touches(next))
		case next == nil:
			add("- %s %q: %s", what, name, removal)
		case !reflect.DeepEqual(old, next):
			add("~ %s %q: %s: %s", what, name, touches(next), strings.Join(changedFields(old, next), ", "))
		}
	}
}

func merged[T any](a, b map[string]*T) map[string]*T {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]*T{}
	}
	maps.Copy(all, b)
	return all
}

// changedFields describes the fields in which two structs differ.
func changedFields[T any](a, b *T) (changed []string) {
	before, after := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range before.NumField() {
		field := before.Type().Field(i)
		x, y := before.Field(i).Interface(), after.Field(i).Interface()
		switch {
		case reflect.DeepEqual(x, y):
		case field.Name == "Credentials":
			changed = append(changed, "keys")
		default:
			changed = append(changed, fmt.Sprintf("%s %v, before %v", field.Name, y, x))
		}
	}
	return changed
}
