package hostile

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// TestReturningCrowds has each caller of a crowd connect again and again.
func TestReturningCrowds(t *testing.T) {
	const rounds = 10
	for _, attack := range attacks {
		t.Run(attack.name, func(t *testing.T) {
			n := startNode(t)
			require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
			c := new(callers)
			defer c.close()
			n.underPressure(func() {
				for range attack.callers {
					c.group.Go(func() {
						for round := range rounds {
							conn := c.dial(n.front)
							if conn == nil {
								continue
							}
							attack.send(conn, round == rounds-1)
							if round%2 == 0 {
								_ = conn.Close()
							}
						}
					})
				}
				c.wait()
			}, func() int { return n.ordinaryRequest("b") })
		})
	}
}

// TestMixedCrowds has callers of all kinds at once, each of which comes back several times.
func TestMixedCrowds(t *testing.T) {
	const callersOfKind, rounds = 40, 4
	files, silent := withFiles(t, 64<<10), withSilentShards(t, 40)
	n := startRelay(t, relayLimits{memoryMB: memoryMB, files: 1000, bodyBytes: bodyBytes}, func(s *platformtest.Store, c *platformtest.Config) {
		files(s, c)
		silent(s, c)
	})
	require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
	kinds := []func(w io.Writer, finish bool){
		func(w io.Writer, _ bool) { _, _ = io.WriteString(w, head(shortFields)) },
		func(w io.Writer, _ bool) {
			_, _ = io.WriteString(w, strings.Repeat(headTo("GET", filesHost, "\r\n"), 200))
		},
		func(w io.Writer, _ bool) { _, _ = io.WriteString(w, headTo("GET", searchHost, "\r\n")) },
		func(w io.Writer, _ bool) {
			_, _ = io.WriteString(w, headTo("POST", searchHost, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)))
			_, _ = w.Write(make([]byte, bodyBytes))
		},
	}
	for _, attack := range attacks {
		kinds = append(kinds, attack.send)
	}
	c := new(callers)
	defer c.close()
	n.underPressure(func() {
		for _, send := range kinds {
			for range callersOfKind {
				c.group.Go(func() {
					for round := range rounds {
						if conn := c.dial(n.front); conn != nil {
							send(conn, round == rounds-1)
						}
					}
				})
			}
		}
		c.wait()
	}, func() int { return n.ordinaryRequest("b") })
}
