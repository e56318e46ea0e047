package demo

import (
	"fmt"
	"slices"
	"strings"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// baseline is a change of policy that a run is compared with.
type baseline struct {
	name  string
	apply func(*document.Policy)
}

var baselines = []baseline{
	{"hedge-off", func(p *document.Policy) { p.Hedge = document.HedgeOff }},
	{"routing-direct", func(p *document.Policy) { p.Routing = document.RoutingDirect }},
	{"retry-unbounded", func(p *document.Policy) { p.Retry = document.RetryUnbounded }},
}

// Baselines returns the names of the baselines that a run can be compared with.
func Baselines() []string {
	var names []string
	for _, b := range baselines {
		names = append(names, b.name)
	}
	return names
}

// WithBaseline returns a copy of a document in which a baseline is applied to the
// policy of every service.
func WithBaseline(doc *document.Document, name string) (*document.Document, error) {
	i := slices.IndexFunc(baselines, func(b baseline) bool { return b.name == name })
	if i < 0 {
		return nil, fmt.Errorf("baseline %q is not one of %s", name, strings.Join(Baselines(), ", "))
	}
	changed := *doc
	changed.Deployments = slices.Clone(doc.Deployments)
	for d := range changed.Deployments {
		services := slices.Clone(changed.Deployments[d].Services)
		for s := range services {
			baselines[i].apply(&services[s].Policy)
		}
		changed.Deployments[d].Services = services
	}
	return &changed, nil
}
