package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// Targets maps the name of an instance or a leaf to the base URL of its server.
type Targets map[string]string

// Lookup returns the base URL of a leaf: its own if there is one, or that of
// its instance.
func (t Targets) Lookup(leaf, instance string) (baseURL string, found bool) {
	if baseURL, found = t[leaf]; found {
		return baseURL, true
	}
	baseURL, found = t[instance]
	return baseURL, found
}

// targetList is the platform's list of target addresses.
type targetList struct {
	Targets Targets `json:"targets"`
}

// ParseTargets decodes the platform's list of target addresses, an object with
// the one field "targets".
func ParseTargets(data []byte) (Targets, error) {
	var list targetList
	report := jsonc.Decode(data, MaxBytes, &list)
	if report.Decoded() {
		c := checker{report: report}
		c.targets(list.Targets, "/targets")
	}
	if err := report.Err(); err != nil {
		return nil, fmt.Errorf("list of targets: %w", err)
	}
	return list.Targets, nil
}

// targets checks the address of each target, in the order of their names.
func (c checker) targets(targets Targets, path jsonc.Path) {
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		c.url(targets[name], path.Key(name))
	}
}
