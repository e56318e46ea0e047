package hostile

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// shortFields are many short fields of a head.
var shortFields = func() string {
	var fields strings.Builder
	for i := range 8000 {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}()

// TestHeadsOfShortFields has callers send heads of many short fields, whose decoded form takes far more
// memory than their bytes, and stop short of the end of the head or of the body.
func TestHeadsOfShortFields(t *testing.T) {
	for name, end := range map[string]string{"without end": "", "before a body": "Content-Length: 2\r\n\r\nb"} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
			c := new(callers)
			defer c.close()
			n.underPressure(func() {
				c.open(n.front, crowd, func(w io.Writer, _ bool) { _, _ = io.WriteString(w, head(shortFields+end)) })
				c.wait()
			}, func() int { return n.ordinaryRequest("b") })
		})
	}
}
