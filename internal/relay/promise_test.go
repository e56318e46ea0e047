package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestFailureOfLeafIsNoPromise guards against a leaf's own failure of a request that it has run
// reaching the caller with a status that promises that the request has not run.
func TestFailureOfLeafIsNoPromise(t *testing.T) {
	cases := []struct {
		leaf, caller int
	}{
		{408, 502}, {421, 502}, {429, 502}, {503, 502},
		{400, 400}, {404, 404}, {409, 409}, {425, 425}, {500, 500}, {502, 502}, {504, 504},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, idempotent %v", c.leaf, idempotent), func(t *testing.T) {
				s := newSetup(t, singleLeafRoutes(idempotent), map[string][]relaytest.Script{"s": {relaytest.Answer(c.leaf, "sig", "failed")}})
				got := s.do(http.MethodPost, "/one/x", "order")
				assert.Equal(t, c.caller, got.status)
				assert.Equal(t, "failed", got.body)
				signature := "sig"
				if c.leaf != c.caller {
					signature = ""
				}
				assert.Equal(t, signature, got.header.Get(relaytest.HeaderSigned))
				assert.Len(t, s.leaves["s"][0].Requests(), 1)
			})
		}
	}
}

// TestFailureOfLeafIsRetried guards against a leaf's own 408, 429 or 503 ending a request that may run
// again on a healthy leaf.
func TestFailureOfLeafIsRetried(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": {
				relaytest.Answer(status, "sig", "failed"), relaytest.Answer(200, "sig", "whole"),
			}})
			for range 4 {
				assert.Equal(t, 200, s.do(http.MethodGet, "/one/x", "").status)
			}
		})
	}
}
