package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

const validSettings = `{
	"name": "tema-1", // this host
	"data_centre": "tema",
	"http_listen": "0.0.0.0:7080",
	"ops_listen": "127.0.0.1:7081",
	"peer_listen": "127.0.0.1:7082",
	"peers": [
		{"name": "tema-1", "address": "127.0.0.1:7082"},
		{"name": "tema-2", "address": "127.0.0.2:7082"},
	],
	"configuration_service": "http://127.0.0.1:7000/config",
	"host_list": "http://127.0.0.1:7000/hosts", "targets": {"a": "http://127.0.0.1:9000", "a-1": "http://127.0.0.1:9001"},
	"stop": {"balancer_lag_ms": 250},
	"limits": {"max_requests": 10},
}
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.NoError(t, s.Validate())
	require.Equal(t, "127.0.0.1:7082", s.PeerAdvertise)
	require.Equal(t, 250*time.Millisecond, s.Stop.BalancerLag())
	require.Equal(t, 10, s.Limits.MaxRequests)
	require.Equal(t, Defaults().Limits.MaxBodyBytes, s.Limits.MaxBodyBytes)
	require.Equal(t, "http://127.0.0.1:9001", s.Targets["a-1"])
}

func TestParseReportsCodeLineAndField(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		code     jsonc.Code
		line     int
		field    string
	}{
		{"syntax", `"tema",`, `tema,`, jsonc.CodeSyntax, 3, ""},
		{"unknown field", `"max_requests"`, `"max_request"`, jsonc.CodeUnknownField, 14, "limits.max_request"},
		{"duplicate key", `"a-1"`, `"a"`, jsonc.CodeDuplicateKey, 12, "targets.a"},
		{"wrong type", `250`, `"250"`, jsonc.CodeWrongType, 13, "stop.balancer_lag_ms"},
		{"no name", `"name": "tema-1", //`, `//`, CodeMissing, 1, "name"},
		{"bad name", `"tema",`, `"te ma",`, CodeBadName, 3, "data_centre"},
		{"host name in listen address", `0.0.0.0:7080`, `localhost:7080`, CodeBadAddress, 4, "http_listen"},
		{"listen address without port", `0.0.0.0:7080`, `0.0.0.0`, CodeBadAddress, 4, "http_listen"},
		{"advertised address unspecified", `"peer_listen": "127.0.0.1:7082"`, `"peer_listen": "0.0.0.0:7082"`, CodeBadAddress, 1, "peer_advertise"},
		{"listeners share an address", `"127.0.0.1:7082",`, `"127.0.0.1:7081",`, CodeConflict, 6, "peer_listen"},
		{"duplicate peer", `"tema-2"`, `"tema-1"`, CodeDuplicateName, 9, "peers[1].name"},
		{"own entry differs", `"127.0.0.1:7082"}`, `"127.0.0.1:7083"}`, CodeConflict, 8, "peers[0].address"},
		{"peer by host name", `127.0.0.2`, `tema-2`, CodeBadAddress, 9, "peers[1].address"},
		{"service by host name", `127.0.0.1:7000`, `config:7000`, CodeBadURL, 11, "configuration_service"},
		{"service without scheme", `http://127.0.0.1:7000`, `127.0.0.1:7000`, CodeBadURL, 11, "configuration_service"},
		{"target by host name", `127.0.0.1:9001`, `a:9001`, CodeBadURL, 12, "targets.a-1"},
		{"no host list", `"host_list": "http://127.0.0.1:7000/hosts", `, ``, CodeMissing, 1, "host_list"},
		{"limit out of range", `10}`, `0}`, CodeOutOfRange, 14, "limits.max_requests"},
		{"limit that does not exist", `10}`, `10, "max_answer_bytes": 9000000}`, jsonc.CodeUnknownField, 14, "limits.max_answer_bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validSettings, c.old)
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
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

func TestExamplesLoad(t *testing.T) {
	for _, environment := range []string{"adom", "olivera"} {
		loaded, err := document.LoadFile("../../examples/" + environment + ".jsonc")
		require.NoError(t, err)
		files, err := filepath.Glob("../../examples/settings/" + environment + "-*.jsonc")
		require.NoError(t, err)
		require.Len(t, files, 6)
		for _, file := range files {
			s, err := LoadFile(file)
			require.NoError(t, err)
			require.Len(t, s.Peers, 6)
			require.True(t, loaded.Index.HasDataCentre(s.DataCentre))
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers": [{"address": "[::1]:1"}], "targets": {"/~": "http://[::1]"}}`))
	f.Add([]byte(`{"limits": {"max_requests": 1e3}, "limits": null} /*`))
	data, err := os.ReadFile("../../examples/settings/adom-tema-1.jsonc")
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			require.NoError(t, s.Validate())
			return
		}
		var list *jsonc.Error
		require.True(t, errors.As(err, &list))
		require.NotEmpty(t, list.Error())
	})
}
