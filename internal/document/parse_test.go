package document

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// smallDocument is a document that Parse accepts. Tests change one part of it.
const smallDocument = `{
	"revision": 7, // raised with every change
	"data_centres": [{"name": "tema", "region": "accra"}, {"name": "madina", "region": "accra"}],
	"taken_out": ["tema"],
	"leaving_leaves": ["a-0"],
	"deployments": [{"customer": "adom", "services": [{
		"name": "dispatch",
		"policy": {"coverage": "full"},
		"leaf": {"slots": 2, "connections": 25},
		"shards": ["s0", "s1"],
		"instances": [
			{"name": "a", "data_centre": "tema", "leaves": [{"name": "a-0", "shard": "s0"}]},
			{"name": "b", "data_centre": "madina", "leaves": [{"name": "b-0", "shard": "s1"}]},
		],
	}]}],
}
`

func TestParseReportsCodeLineAndField(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		code     jsonc.Code
		line     int
		field    string
	}{
		{"syntax", `"policy": {`, `"policy": {,`, jsonc.CodeSyntax, 8, ""},
		{"unknown field", `"slots"`, `"slot"`, jsonc.CodeUnknownField, 9, "deployments[0].services[0].leaf.slot"},
		{"field in other case", `"revision"`, `"Revision"`, jsonc.CodeUnknownField, 2, "Revision"},
		{"duplicate key", `"slots": 2,`, "\"slots\": 2,\n\"slots\": 2,", jsonc.CodeDuplicateKey, 10, "deployments[0].services[0].leaf.slots"},
		{"wrong type", `"slots": 2`, `"slots": "2"`, jsonc.CodeWrongType, 9, "deployments[0].services[0].leaf.slots"},
		{"null", `["s0", "s1"]`, `null`, jsonc.CodeWrongType, 10, "deployments[0].services[0].shards"},
		{"fraction", `"revision": 7`, `"revision": 7.5`, jsonc.CodeWrongType, 2, "revision"},
		{"no revision", `"revision": 7,`, ``, CodeBadRevision, 1, "revision"},
		{"bad name", `"customer": "adom"`, `"customer": "a/b"`, CodeBadName, 6, "deployments[0].customer"},
		{"no region", `"region": "accra"}, `, `"region": ""}, `, CodeMissing, 3, "data_centres[0].region"},
		{"duplicate data centre", `"name": "madina"`, `"name": "tema"`, CodeDuplicateName, 3, "data_centres[1].name"},
		{"duplicate leaf", `"b-0"`, `"a-0"`, CodeDuplicateName, 13, "deployments[0].services[0].instances[1].leaves[0].name"},
		{"duplicate instance", `"name": "b"`, `"name": "a"`, CodeDuplicateName, 13, "deployments[0].services[0].instances[1].name"},
		{"leaf named as an instance", `"b-0"`, `"a"`, CodeDuplicateName, 13, "deployments[0].services[0].instances[1].leaves[0].name"},
		{"unknown data centre", `"data_centre": "madina"`, `"data_centre": "lome"`, CodeUnknownDataCentre, 13, "deployments[0].services[0].instances[1].data_centre"},
		{"unknown data centre taken out", `["tema"]`, `["lome"]`, CodeUnknownDataCentre, 4, "taken_out[0]"},
		{"all taken out", `["tema"]`, `["tema", "madina"]`, CodeAllTakenOut, 4, "taken_out"},
		{"unknown leaving leaf", `["a-0"]`, `["a"]`, CodeUnknownLeaf, 5, "leaving_leaves[0]"},
		{"shard without leaf", `["s0", "s1"]`, `["s0", "s1", "s2"]`, CodeShardWithoutLeaf, 10, "deployments[0].services[0].shards[2]"},
		{"leaf of an unlisted shard", `["s0", "s1"]`, `["s0"]`, CodeUnknownShard, 13, "deployments[0].services[0].instances[1].leaves[0].shard"},
		{"no slots", `"slots": 2`, `"slots": 0`, CodeLimitNotShareable, 9, "deployments[0].services[0].leaf.slots"},
		{"few connections", `25`, `3`, CodeLimitNotShareable, 9, "deployments[0].services[0].leaf.connections"},
		{"cold slots above slots", `25`, `25, "cold_slots": 3`, CodeLimitNotShareable, 9, "deployments[0].services[0].leaf.cold_slots"},
		{"negative warm_after", `25`, `25, "warm_after": -1`, CodeOutOfRange, 9, "deployments[0].services[0].leaf.warm_after"},
		{"minimum coverage", `"full"`, `"full", "minimum_coverage": 1.01`, CodeOutOfRange, 8, "deployments[0].services[0].policy.minimum_coverage"},
		{"hedge budget", `"full"`, `"full", "hedge_budget": 0.3`, CodeOutOfRange, 8, "deployments[0].services[0].policy.hedge_budget"},
		{"negative deadline", `"full"`, `"full", "deadline_ms": -1`, CodeOutOfRange, 8, "deployments[0].services[0].policy.deadline_ms"},
		{"coverage word", `"full"`, `"most"`, CodeBadPolicy, 8, "deployments[0].services[0].policy.coverage"},
		{"routing word", `"full"`, `"full", "routing": "random"`, CodeBadPolicy, 8, "deployments[0].services[0].policy.routing"},
		{"duplicate class", `"full"`, `"full", "classes": ["x", "x"]`, CodeDuplicateName, 8, "deployments[0].services[0].policy.classes[1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, smallDocument, c.old)
			_, err := Parse([]byte(strings.Replace(smallDocument, c.old, c.new, 1)))
			require.True(t, jsonc.HasCode(err, c.code), "got %v", err)
			var list *jsonc.Error
			require.True(t, errors.As(err, &list))
			for _, p := range list.Problems {
				if p.Code == c.code {
					require.Equal(t, c.line, p.Line, "%v", err)
					require.Equal(t, c.field, p.Field)
					return
				}
			}
		})
	}
}

func TestParseCollectsProblems(t *testing.T) {
	data := strings.NewReplacer(`"slots": 2`, `"slots": 0`, `"full"`, `"most"`, `"b-0"`, `"a-0"`).Replace(smallDocument)
	_, err := Parse([]byte(data))
	var list *jsonc.Error
	require.True(t, errors.As(err, &list))
	require.Len(t, list.Problems, 3)
	jsonc.WithFile(err, "adom.jsonc")
	require.Contains(t, err.Error(),
		"adom.jsonc:9: deployments[0].services[0].leaf.slots: must be at least 1, got 0\n")
}

func TestParseRejectsSizeAndDepth(t *testing.T) {
	exact := smallDocument + strings.Repeat(" ", MaxBytes-len(smallDocument))
	_, err := Parse([]byte(exact))
	require.NoError(t, err)
	_, err = Parse([]byte(exact + " "))
	require.True(t, jsonc.HasCode(err, jsonc.CodeTooLarge))
	_, err = Parse([]byte(strings.Repeat("[", MaxBytes)))
	require.True(t, jsonc.HasCode(err, jsonc.CodeTooDeep))
}

func TestLoadLeavesBytesUnchanged(t *testing.T) {
	data := []byte(smallDocument)
	loaded, err := Load(data)
	require.NoError(t, err)
	require.Equal(t, smallDocument, string(data))
	require.Equal(t, Identity{Revision: 7, Digest: Digest([]byte(smallDocument))}, loaded.Identity)
}

func TestParseFillsDefaults(t *testing.T) {
	doc, err := Parse([]byte(smallDocument))
	require.NoError(t, err)
	service := doc.Deployments[0].Services[0]
	require.Equal(t, 1.0, service.Policy.MinimumCoverage)
	require.Equal(t, HedgeBudgeted, service.Policy.Hedge)
	require.Equal(t, 1, service.Leaf.ColdSlots)
	require.NotEmpty(t, service.Policy.Classes)
}

func TestIndex(t *testing.T) {
	loaded, err := Load([]byte(smallDocument))
	require.NoError(t, err)
	index := loaded.Index
	require.Equal(t, 2, index.NumLeaves())
	require.True(t, index.HasCustomer("adom"))
	require.Nil(t, index.Service("adom", "absent"))
	require.Nil(t, index.Service("absent", "dispatch"))
	service := index.Service("adom", "dispatch")
	require.Equal(t, []LeafID{1}, service.Shards[1].Replicas)
	leaf := index.Leaf(index.LeafID("a-0"))
	require.Equal(t, "s0", leaf.ShardName())
	require.Equal(t, "tema", leaf.DataCentre())
	require.True(t, leaf.Leaving)
	require.True(t, leaf.Instance.TakenOut)
	require.False(t, leaf.AcceptsWork())
	require.True(t, index.Leaf(1).AcceptsWork())
	require.Nil(t, index.Leaf(index.LeafID("absent")))
	require.True(t, index.TakenOut("tema"))
	require.Equal(t, "accra", index.Region("madina"))
}

func TestExamplesLoad(t *testing.T) {
	leaves := map[string]int{"adom": 30 + 45 + 14 + 7, "olivera": 30 + 45 + 7 + 3}
	for name, want := range leaves {
		loaded, err := LoadFile("../../examples/" + name + ".jsonc")
		require.NoError(t, err)
		require.Equal(t, want, loaded.Index.NumLeaves())
		requireSpread(t, loaded.Index)
	}
}

func TestGenerateFleet(t *testing.T) {
	doc, err := Generate(FleetSpec())
	require.NoError(t, err)
	data, err := Encode(doc)
	require.NoError(t, err)
	loaded, err := Load(data)
	require.NoError(t, err)
	require.Equal(t, 4700, loaded.Index.NumLeaves())
	requireSpread(t, loaded.Index)
}

// requireSpread checks that the replicas of each shard are in different
// instances, and in more than one data centre if there are several.
func requireSpread(t *testing.T, index *Index) {
	t.Helper()
	for _, service := range index.Services() {
		for _, shard := range service.Shards {
			instances := make(map[string]bool)
			dataCentres := make(map[string]bool)
			for _, id := range shard.Replicas {
				instances[index.Leaf(id).Instance.Name] = true
				dataCentres[index.Leaf(id).DataCentre()] = true
			}
			require.Len(t, instances, len(shard.Replicas), "%s/%s", service.Name, shard.Name)
			require.Greater(t, len(dataCentres), 1, "%s/%s", service.Name, shard.Name)
		}
	}
}

func FuzzDocument(f *testing.F) {
	f.Add([]byte(smallDocument))
	f.Add([]byte(`{"deployments": [{"customer": "x", "customer": "y"}]} // end`))
	f.Add([]byte(`{"data_centres": [{"name": 1}], "revision": -1}`))
	f.Add([]byte("{\"\xff\": /* open"))
	for _, name := range []string{"adom", "olivera"} {
		data, err := os.ReadFile("../../examples/" + name + ".jsonc")
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		loaded, err := Load(data)
		if err != nil {
			var list *jsonc.Error
			require.True(t, errors.As(err, &list))
			require.NotEmpty(t, list.Problems)
			return
		}
		encoded, err := Encode(loaded.Document)
		require.NoError(t, err)
		if len(encoded) > MaxBytes {
			return
		}
		again, err := Load(encoded)
		require.NoError(t, err)
		require.Empty(t, Diff(loaded.Document, again.Document))
	})
}
