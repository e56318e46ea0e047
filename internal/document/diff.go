package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is a difference between two documents. Old is empty for an addition, and New
// for a removal.
type Change struct {
	// Subject identifies the changed item, such as `service "dispatch" of "adom": slots`.
	Subject string `json:"subject"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Subject, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Subject, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Subject, c.Old, c.New)
	}
}

// Diff returns the semantic differences between two documents that were returned by
// Parse. It ignores comments, layout and the order of named items.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.value("revision", fmt.Sprint(before.Revision), fmt.Sprint(after.Revision))
	d.dataCentres(before.DataCentres, after.DataCentres)
	d.set("data centre taken out", before.TakenOut, after.TakenOut)
	d.set("leaf leaving", before.LeavingLeaves, after.LeavingLeaves)
	d.set("host stopped", before.StoppedHosts, after.StoppedHosts)
	d.deployments(before.Deployments, after.Deployments)
	return d.changes
}

// differ collects changes in the order in which they are found.
type differ struct {
	changes []Change
}

func (d *differ) add(subject, before, after string) {
	d.changes = append(d.changes, Change{Subject: subject, Old: before, New: after})
}

// value compares two values. An absent value is empty.
func (d *differ) value(subject, before, after string) {
	if before != after {
		d.add(subject, before, after)
	}
}

// set compares two lists as sets.
func (d *differ) set(subject string, before, after []string) {
	for _, name := range before {
		if !slices.Contains(after, name) {
			d.add(subject, name, "")
		}
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			d.add(subject, "", name)
		}
	}
}

func (d *differ) dataCentres(before, after []DataCentre) {
	region := func(dc DataCentre) string { return "region " + dc.Region }
	name := func(dc DataCentre) string { return dc.Name }
	for _, p := range pairByName(before, after, name) {
		d.value(fmt.Sprintf("data centre %q", p.name), p.before(region), p.after(region))
	}
}

func (d *differ) deployments(before, after []Deployment) {
	summary := func(x Deployment) string { return fmt.Sprintf("%d services", len(x.Services)) }
	for _, p := range pairByName(before, after, func(x Deployment) string { return x.Customer }) {
		if p.old == nil || p.new == nil {
			d.add(fmt.Sprintf("customer %q", p.name), p.before(summary), p.after(summary))
			continue
		}
		d.services(p.name, p.old.Services, p.new.Services)
	}
}

func (d *differ) services(customer string, before, after []Service) {
	summary := func(x Service) string {
		return fmt.Sprintf("%d shards, %d instances", len(x.Shards), len(x.Instances))
	}
	for _, p := range pairByName(before, after, func(x Service) string { return x.Name }) {
		subject := fmt.Sprintf("service %q of %q", p.name, customer)
		if p.old == nil || p.new == nil {
			d.add(subject, p.before(summary), p.after(summary))
			continue
		}
		d.fields(subject+" policy", p.old.Policy, p.new.Policy)
		d.fields(subject+" leaf", p.old.Leaf, p.new.Leaf)
		d.set(subject+" shard", p.old.Shards, p.new.Shards)
		d.instances(subject, p.old.Instances, p.new.Instances)
	}
}

// fields compares the fields of two structs of the same type by JSON name.
func (d *differ) fields(subject string, before, after any) {
	beforeValue, afterValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range beforeValue.NumField() {
		name, _, _ := strings.Cut(beforeValue.Type().Field(i).Tag.Get("json"), ",")
		d.value(subject+"."+name, fmt.Sprint(beforeValue.Field(i)), fmt.Sprint(afterValue.Field(i)))
	}
}

func (d *differ) instances(subject string, before, after []Instance) {
	summary := func(x Instance) string {
		return fmt.Sprintf("%d leaves in %s", len(x.Leaves), x.DataCentre)
	}
	for _, p := range pairByName(before, after, func(x Instance) string { return x.Name }) {
		at := fmt.Sprintf("%s instance %q", subject, p.name)
		if p.old == nil || p.new == nil {
			d.add(at, p.before(summary), p.after(summary))
			continue
		}
		d.value(at+" data_centre", p.old.DataCentre, p.new.DataCentre)
		d.leaves(at, p.old.Leaves, p.new.Leaves)
	}
}

func (d *differ) leaves(subject string, before, after []Leaf) {
	shard := func(leaf Leaf) string { return "shard " + leaf.Shard }
	for _, p := range pairByName(before, after, func(leaf Leaf) string { return leaf.Name }) {
		d.value(fmt.Sprintf("%s leaf %q", subject, p.name), p.before(shard), p.after(shard))
	}
}

// pair holds the items of one name in both documents. An absent item is nil.
type pair[T any] struct {
	name     string
	old, new *T
}

func (p pair[T]) before(describe func(T) string) string { return describeOrEmpty(p.old, describe) }

func (p pair[T]) after(describe func(T) string) string { return describeOrEmpty(p.new, describe) }

func describeOrEmpty[T any](item *T, describe func(T) string) string {
	if item == nil {
		return ""
	}
	return describe(*item)
}

// pairByName pairs the items of two lists by name: first the items of before in their
// order, then those that are only in after.
func pairByName[T any](before, after []T, name func(T) string) []pair[T] {
	pairs := make([]pair[T], 0, len(before))
	positions := make(map[string]int, len(before))
	for i := range before {
		positions[name(before[i])] = len(pairs)
		pairs = append(pairs, pair[T]{name: name(before[i]), old: &before[i]})
	}
	for i := range after {
		position, found := positions[name(after[i])]
		if !found {
			pairs = append(pairs, pair[T]{name: name(after[i]), new: &after[i]})
			continue
		}
		pairs[position].new = &after[i]
	}
	return pairs
}
