package document

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// parsed returns a new copy of smallDocument.
func parsed(t *testing.T) *Document {
	t.Helper()
	doc, err := Parse([]byte(smallDocument))
	require.NoError(t, err)
	return doc
}

func TestDiff(t *testing.T) {
	const service = `service "dispatch" of "adom"`
	cases := []struct {
		name   string
		change func(*Document)
		want   []string
	}{
		{"nothing", func(*Document) {}, nil},
		{"revision", func(d *Document) { d.Revision = 8 }, []string{"~ revision: 7 -> 8"}},
		{"data centre returns", func(d *Document) { d.TakenOut = nil }, []string{"- data centre taken out: tema"}},
		{"leaf leaves", func(d *Document) { d.LeavingLeaves = []string{"a-0", "b-0"} }, []string{"+ leaf leaving: b-0"}},
		{"host stopped", func(d *Document) { d.StoppedHosts = []string{"tema-1"} }, []string{"+ host stopped: tema-1"}},
		{"order of data centres", func(d *Document) { d.DataCentres[0], d.DataCentres[1] = d.DataCentres[1], d.DataCentres[0] }, nil},
		{"region", func(d *Document) { d.DataCentres[1].Region = "coast" }, []string{`~ data centre "madina": region accra -> region coast`}},
		{"slots", func(d *Document) { d.Deployments[0].Services[0].Leaf.Slots = 3 }, []string{"~ " + service + " leaf.slots: 2 -> 3"}},
		{"classes", func(d *Document) { d.Deployments[0].Services[0].Policy.Classes = []string{"x", "y"} },
			[]string{"~ " + service + " policy.classes: [interactive background] -> [x y]"}},
		{"instance moved", func(d *Document) { d.Deployments[0].Services[0].Instances[1].DataCentre = "tema" },
			[]string{"~ " + service + ` instance "b" data_centre: madina -> tema`}},
		{"leaf moved", func(d *Document) { d.Deployments[0].Services[0].Instances[1].Leaves[0].Shard = "s0" },
			[]string{"~ " + service + ` instance "b" leaf "b-0": shard s1 -> shard s0`}},
		{"instance removed", func(d *Document) {
			d.Deployments[0].Services[0].Instances = d.Deployments[0].Services[0].Instances[:1]
		}, []string{"- " + service + ` instance "b": 1 leaves in madina`}},
		{"service renamed", func(d *Document) { d.Deployments[0].Services[0].Name = "x" }, []string{
			"- " + service + ": 2 shards, 2 instances",
			`+ service "x" of "adom": 2 shards, 2 instances`,
		}},
		{"customer removed", func(d *Document) { d.Deployments = nil }, []string{`- customer "adom": 1 services`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			after := parsed(t)
			c.change(after)
			var got []string
			for _, change := range Diff(parsed(t), after) {
				got = append(got, change.String())
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestParseRejectsDuplicateAndMissingItems(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Document)
		code   jsonc.Code
		field  string
	}{
		{"customer", func(d *Document) { d.Deployments = append(d.Deployments, d.Deployments[0]) }, CodeDuplicateName, "deployments[1].customer"},
		{"service", func(d *Document) {
			d.Deployments[0].Services = append(d.Deployments[0].Services, d.Deployments[0].Services[0])
		}, CodeDuplicateName, "deployments[0].services[1].name"},
		{"stopped host", func(d *Document) { d.StoppedHosts = []string{"h", "h"} }, CodeDuplicateName, "stopped_hosts[1]"},
		{"no deployment", func(d *Document) { d.Deployments = []Deployment{} }, CodeMissing, "deployments"},
		{"no service", func(d *Document) { d.Deployments[0].Services = []Service{} }, CodeMissing, "deployments[0].services"},
		{"no instance", func(d *Document) { d.Deployments[0].Services[0].Instances = []Instance{} }, CodeMissing, "deployments[0].services[0].instances"},
		{"no leaf", func(d *Document) { d.Deployments[0].Services[0].Instances[0].Leaves = []Leaf{} }, CodeMissing, "deployments[0].services[0].instances[0].leaves"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := parsed(t)
			c.change(doc)
			data, err := Encode(doc)
			require.NoError(t, err)
			_, err = Parse(data)
			require.True(t, jsonc.HasCode(err, c.code), "%v", err)
			require.ErrorContains(t, err, " "+c.field+": ")
		})
	}
}

func TestGenerateRejectsInvalidSizes(t *testing.T) {
	limits := LeafLimits{Slots: 1, Connections: 4}
	for _, service := range []ServiceSpec{
		{Name: "a", Instances: 0, LeavesPerInstance: 1, Shards: 1, Limits: limits},
		{Name: "a", Instances: 1, LeavesPerInstance: 1, Shards: 2, Limits: limits},
		{Name: "a", Instances: 2, LeavesPerInstance: 2, Shards: 1, Limits: limits},
	} {
		_, err := Generate(Spec{
			Revision:    1,
			DataCentres: []DataCentre{{Name: "tema", Region: "accra"}},
			Deployments: []DeploymentSpec{{Customer: "adom", Services: []ServiceSpec{service}}},
		})
		require.ErrorContains(t, err, `service "a" of customer "adom"`)
	}
}
