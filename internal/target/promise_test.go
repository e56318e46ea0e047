package target_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

// TestFailureOfLeafIsNoPromise guards against a leaf's failure of a call that it has run being taken
// for a refusal: only a known word together with the leaf's promise is one, whatever the status.
func TestFailureOfLeafIsNoPromise(t *testing.T) {
	refusals := map[string]bool{"shed": true, "cold": true, "leaving": true, "snapshot": true, "deadline": false, "busy": false, "": false}
	for _, status := range []int{400, 408, 421, 429, 500, 502, 503, 504} {
		for word, refuses := range refusals {
			for _, run := range []string{"no", "unknown", "yes", ""} {
				t.Run(fmt.Sprintf("%d %q run %q", status, word, run), func(t *testing.T) {
					caller := newStatusLeaf(t, status, word, run)
					_, err := caller.Call(t.Context(), newRequest())
					require.Error(t, err)
					assert.Equal(t, refuses && run == "no", kind.RunOf(err) == kind.RunNo, "%v", err)
				})
			}
		}
	}
}

// newStatusLeaf returns a caller of a leaf that answers calls with a status, the word of a refusal and
// what it says about having run them.
func newStatusLeaf(t *testing.T, status int, word, run string) *target.HTTP {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderIncarnation, "1")
		w.Header().Set(target.HeaderState, "warm")
		if r.URL.Path != target.PathRun {
			return
		}
		for name, value := range map[string]string{target.HeaderRefusal: word, target.HeaderRun: run} {
			if value != "" {
				w.Header().Set(name, value)
			}
		}
		w.WriteHeader(status)
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	caller, err := target.NewHTTP(server.URL, 4, memlimit.New(0))
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	return caller
}

// TestInvalidStatusIsNoRefusal has a leaf say with a status that is none of a refusal that it has not
// run a call: it has failed, and may have run it.
func TestInvalidStatusIsNoRefusal(t *testing.T) {
	for _, status := range []int{201, 204, 301, 399, 600, 700, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			_, err := newStatusLeaf(t, status, "shed", "no").Call(t.Context(), newRequest())
			require.Error(t, err)
			assert.Equal(t, kind.BadAnswer, kind.Of(err))
			assert.NotEqual(t, kind.RunNo, kind.RunOf(err))
		})
	}
}
