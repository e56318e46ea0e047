package catalog

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func tenantTable(version int64, tenants ...*Tenant) *Table {
	return &Table{Version: version, Tenants: tenants}
}

func tenant(name string, keys ...string) *Tenant {
	t := &Tenant{Name: name, RatePerSecond: 1, Burst: 1}
	for _, k := range keys {
		t.Credentials = append(t.Credentials, NewCredential(k))
	}
	return t
}

// TestInvalidTenantsAreRefused checks that each error names the tenant and never a key.
func TestInvalidTenantsAreRefused(t *testing.T) {
	cases := map[string]struct {
		tenants []*Tenant
		want    string
	}{
		"no name":             {[]*Tenant{tenant("", "secret")}, "tenant 1"},
		"name not in headers": {[]*Tenant{tenant("a\r\nX: 1", "secret")}, "not valid in a header"},
		"long name":           {[]*Tenant{tenant(strings.Repeat("n", 300))}, "too long"},
		"two of one name":     {[]*Tenant{tenant("a"), tenant("a")}, `"a" exists twice`},
		"key of two":          {[]*Tenant{tenant("a", "secret"), tenant("b", "secret")}, `"a" and "b" hold the same key`},
		"key twice":           {[]*Tenant{tenant("a", "secret", "secret")}, `"a" lists a key twice`},
		"negative rate":       {[]*Tenant{{Name: "a", RatePerSecond: -1}}, `"a"): rate`},
		"huge rate":           {[]*Tenant{{Name: "a", RatePerSecond: 1e300}}, `"a"): rate`},
		"rate not a number":   {[]*Tenant{{Name: "a", RatePerSecond: math.NaN()}}, `"a"): rate`},
		"negative burst":      {[]*Tenant{{Name: "a", Burst: -1}}, `"a"): burst`},
		"negative priority":   {[]*Tenant{{Name: "a", Priority: -1, HasPriority: true}}, `"a"): priority`},
		"empty":               {[]*Tenant{nil}, "tenant 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := tenantTable(2, c.tenants...).Prepare()
			require.ErrorContains(t, err, c.want)
			assert.NotContains(t, err.Error(), "secret")
			cat := New()
			cat.Replace(0, &Snapshot{AsOf: 1, Entries: []Change{{Key: "t", Revision: 1, Table: tenantTable(1, tenant("old", "k"))}}})
			cat.Apply(0, &Update{From: 1, AsOf: 2, Changes: []Change{{Key: "t", Revision: 2, Table: tenantTable(2, c.tenants...)}}})
			assert.EqualValues(t, 1, cat.View().Newest.Version, "what was in force stays")
			assert.NotNil(t, cat.View().Newest.TenantOf(NewCredential("k")))
		})
	}
}

func TestTenantsAreFoundByKey(t *testing.T) {
	table := tenantTable(1, tenant("a", "k1", "k2"), tenant("b", "k3"), tenant("none"))
	require.NoError(t, table.Prepare())
	assert.Equal(t, "a", table.TenantOf(NewCredential("k2")).Name)
	assert.Equal(t, "b", table.TenantOf(NewCredential("k3")).Name)
	assert.Nil(t, table.TenantOf(NewCredential("K3")))
	assert.Nil(t, table.TenantOf(NewCredential("")))
	assert.True(t, table.NeedsKey(&Route{}))
	assert.False(t, table.NeedsKey(&Route{Open: true}))
	assert.False(t, tenantTable(1).NeedsKey(&Route{}))
}
