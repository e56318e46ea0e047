package ctl

import (
	"errors"
	"io"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/platform"
)

// tableCheck is the output of check --platform.
type tableCheck struct {
	Files []checkedTable `json:"files"`
}

// checkedTable is the outcome for one configuration of the platform.
type checkedTable struct {
	File string `json:"file"`
	OK   bool   `json:"ok"`
	// Error is why nodes would refuse the configuration, and Line where, if that is known.
	Error    string          `json:"error,omitempty"`
	Line     int             `json:"line,omitempty"`
	Version  int64           `json:"version,omitempty"`
	Routes   int             `json:"routes,omitempty"`
	Services int             `json:"services,omitempty"`
	Tenants  []checkedTenant `json:"tenants,omitempty"`
	Findings []string        `json:"findings,omitempty"`
}

// checkedTenant describes a tenant without its keys.
type checkedTenant struct {
	Name     string  `json:"name"`
	Keys     int     `json:"keys"`
	Priority *int    `json:"priority,omitempty"`
	Rate     float64 `json:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// runTableCheck checks configurations of the platform.
func runTableCheck(w io.Writer, format *outputFormat, files []string) error {
	r := &tableCheck{}
	clean := true
	for _, file := range files {
		checked := checkedTable{File: file}
		t, err := platform.LoadConfig(file)
		var refused *platform.ConfigError
		switch {
		case errors.As(err, &refused):
			checked.Error, checked.Line = refused.Err.Error(), refused.Line
		case err != nil:
			return err
		default:
			checked.describe(t)
		}
		clean = clean && checked.OK && len(checked.Findings) == 0
		r.Files = append(r.Files, checked)
	}
	if err := format.write(w, r); err != nil {
		return err
	}
	if !clean {
		return errFinding
	}
	return nil
}

func (c *checkedTable) describe(t *catalog.Table) {
	c.OK, c.Version, c.Routes, c.Services, c.Findings = true, t.Version, len(t.Routes), len(t.Services), t.Review()
	for _, tenant := range t.Tenants {
		described := checkedTenant{Name: tenant.Name, Keys: len(tenant.Credentials), Rate: tenant.RatePerSecond, Burst: tenant.Burst}
		if tenant.HasPriority {
			described.Priority = &tenant.Priority
		}
		c.Tenants = append(c.Tenants, described)
	}
}

func (r *tableCheck) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	for _, c := range r.Files {
		switch {
		case !c.OK && c.Line > 0:
			out.printf("%s:%d: %s", c.File, c.Line, c.Error)
		case !c.OK:
			out.printf("%s: %s", c.File, c.Error)
		default:
			out.printf("%s: version %d, %d routes, %d services, %d tenants", c.File, c.Version, c.Routes, c.Services, len(c.Tenants))
		}
		for _, finding := range c.Findings {
			out.printf("%s: WARNING: %s", c.File, finding)
		}
	}
	return out.err
}

// tableDiff is the output of diff --platform.
type tableDiff struct {
	Old     int64    `json:"old"`
	New     int64    `json:"new"`
	Changes []string `json:"changes"`
}

// runTableDiff shows what a configuration of the platform changes.
func runTableDiff(w io.Writer, format *outputFormat, oldFile, newFile string) error {
	before, err := platform.LoadConfig(oldFile)
	if err != nil {
		return err
	}
	after, err := platform.LoadConfig(newFile)
	if err != nil {
		return err
	}
	r := &tableDiff{Old: before.Version, New: after.Version, Changes: before.Changes(after)}
	if err := format.write(w, r); err != nil {
		return err
	}
	if len(r.Changes) > 0 {
		return errFinding
	}
	return nil
}

func (r *tableDiff) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	out.printf("old: version %d", r.Old)
	out.printf("new: version %d", r.New)
	for _, change := range r.Changes {
		out.printf("%s", change)
	}
	return out.err
}
