package hostlist

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	const host = `{"name":"a","address":"127.0.0.1:1","data_centre":"tema","region":"accra","state":"live"}`
	for _, c := range []struct{ name, data, problem string }{
		{"one host", `{"revision":1,"hosts":[` + host + `]}`, ""},
		{"no hosts", `{"revision":1}`, ""},
		{"unknown field of a newer platform", `{"revision":1,"colour":"red"}`, ""},
		{"not JSON", `{"revision":1`, "unexpected end"},
		{"wrong type", `{"revision":"one"}`, "cannot unmarshal"},
		{"no revision", `{"hosts":[` + host + `]}`, "has no revision"},
		{"host twice", `{"revision":1,"hosts":[` + host + `,` + host + `]}`, `host "a" is listed twice`},
		{"no name", `{"revision":1,"hosts":[{"address":"127.0.0.1:1","state":"live"}]}`, "entry 0: name"},
		{"name with a slash", `{"revision":1,"hosts":[{"name":"a/b","address":"127.0.0.1:1","state":"live"}]}`, "slash"},
		{"host name as address", `{"revision":1,"hosts":[{"name":"a","address":"localhost:1","state":"live"}]}`, "not an IP address"},
		{"address without port", `{"revision":1,"hosts":[{"name":"a","address":"127.0.0.1","state":"live"}]}`, "not an IP address"},
		{"unknown state", `{"revision":1,"hosts":[{"name":"a","address":"127.0.0.1:1","state":"gone"}]}`, `state "gone"`},
		{"negative weight", `{"revision":1,"hosts":[{"name":"a","address":"127.0.0.1:1","state":"live","weight":-1}]}`, "is negative"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := Parse([]byte(c.data))
			if c.problem != "" {
				require.ErrorContains(t, err, c.problem)
				return
			}
			require.NoError(t, err)
			again, err := Parse(list.Encode())
			require.NoError(t, err)
			require.Equal(t, list, again)
		})
	}
}
