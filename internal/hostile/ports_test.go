package hostile

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCrowdsAtOtherPorts has crowds at the ports of a node that are not for requests.
func TestCrowdsAtOtherPorts(t *testing.T) {
	crowds := []struct {
		name string
		send func(w io.Writer, finish bool)
	}{
		{"silent connections", func(io.Writer, bool) {}},
		{"heads without end", func(w io.Writer, _ bool) {
			_, _ = io.WriteString(w, head(""))
			endless(w, []byte("X: "+strings.Repeat("x", 4000)+"\r\n"), 1<<20)
		}},
		{"kept connections", func(w io.Writer, _ bool) {
			_, _ = io.WriteString(w, headTo("GET", "shop.example", "\r\n"))
		}},
		{"frames without end", func(w io.Writer, _ bool) {
			// The length of a payload, the version of the protocol, and the type of a frame.
			_, _ = io.WriteString(w, "\x00\x40\x00\x00\x01\x01\x00\x00\x00\x00\x00\x00\x00\x00")
			endless(w, make([]byte, 16<<10), 4<<20-1)
		}},
	}
	for _, crowd := range crowds {
		for _, port := range []string{"ready", "metrics", "peers"} {
			t.Run(crowd.name+" at "+port, func(t *testing.T) {
				n := startNode(t)
				require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
				address := map[string]string{"ready": n.ready, "metrics": n.metrics, "peers": n.peers}[port]
				c := new(callers)
				defer c.close()
				n.underPressure(func() {
					c.open(address, silentCrowd, crowd.send)
					c.wait()
				}, func() int { return n.ordinaryRequest("b") })
				n.waitReady("http://" + n.ready + "/redwingshelf/ready")
			})
		}
	}
}
