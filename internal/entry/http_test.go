package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/once"
)

// indexRouter is a Router with a document and without holders.
type indexRouter struct {
	Router
	index *document.Index
}

func (r indexRouter) Index() *document.Index { return r.index }

// newTestHTTP returns the callers' interface of a handler that answers every
// request that passes the filters.
func newTestHTTP(t *testing.T, router Router) *HTTP {
	t.Helper()
	last := func(context.Context, *Request) (*Answer, error) { return &Answer{Result: &coverage.Result{}}, nil }
	tickets := NewTickets(once.Process{Host: "tema-0", Incarnation: 1}, nil, once.DefaultOptions())
	handler := Chain(last, Identify(router), Deadline(), AtMostOnce(tickets))
	return NewHTTP(handler, tickets.Issue, 64, memlimit.New(0))
}

func TestCallersHTTP(t *testing.T) {
	loaded, err := document.LoadFile("../../examples/adom.jsonc")
	require.NoError(t, err)
	router := indexRouter{index: loaded.Index}
	const search = "/v1/customers/adom/services/dispatch/search"
	const submit = "/v1/customers/adom/services/dispatch/requests"
	for _, c := range []struct {
		name, path, body, header, value string
		kind                            kind.Kind
	}{
		{"not JSON", search, `{"text":`, "", "", kind.BadRequest},
		{"empty body", search, ``, "", "", kind.BadRequest},
		{"oversized body", search, `{"text":"` + strings.Repeat("x", 64) + `"}`, "", "", kind.TooLarge},
		{"unknown customer", "/v1/customers/none/services/dispatch/search", `{}`, "", "", kind.UnknownCustomer},
		{"unknown service", "/v1/customers/adom/services/none/search", `{}`, "", "", kind.UnknownService},
		{"unknown path", "/v1/other", `{}`, "", "", kind.NotFound},
		{"deadline in the past", search, `{}`, HeaderTimeout, "-5", kind.DeadlinePassed},
		{"deadline of zero", search, `{}`, HeaderTimeout, "0", kind.DeadlinePassed},
		{"timeout is no number", search, `{}`, HeaderTimeout, "soon", kind.BadRequest},
		{"timeout is too large", search, `{}`, HeaderTimeout, "99999999999", kind.BadRequest},
		{"unknown class", search, `{}`, HeaderClass, "none", kind.BadRequest},
		{"limit of zero", search + "?limit=0", `{}`, "", "", kind.BadRequest},
		{"limit too large", search + "?limit=10001", `{}`, "", "", kind.BadRequest},
		{"limit is no number", search + "?limit=all", `{}`, "", "", kind.BadRequest},
		{"request id too long", search, `{}`, HeaderRequestID, strings.Repeat("x", maxIDLength+1), kind.BadRequest},
		{"no ticket", submit, `{}`, "", "", kind.TicketRequired},
		{"bad ticket", submit, `{}`, HeaderTicket, "x", kind.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			headers := map[string]string{}
			if c.header != "" {
				headers[c.header] = c.value
			}
			requireKind(t, newTestHTTP(t, router), c.path, c.body, headers, c.kind)
		})
	}
	t.Run("no configuration yet", func(t *testing.T) {
		requireKind(t, newTestHTTP(t, indexRouter{}), search, `{}`, nil, kind.NoConfiguration)
	})
	t.Run("good request", func(t *testing.T) {
		headers := map[string]string{HeaderClass: "fitter", HeaderTimeout: "50", HeaderRequestID: "r1"}
		response := post(newTestHTTP(t, router), search+"?limit=5", `{}`, headers)
		require.Equal(t, http.StatusOK, response.Code)
		require.Equal(t, "r1", response.Header().Get(HeaderRequestID))
	})
}

func post(h http.Handler, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	h.ServeHTTP(response, request)
	return response
}

// requireKind checks that the answer matches the row of a kind in the table of kinds.
func requireKind(t *testing.T, h http.Handler, path, body string, headers map[string]string, want kind.Kind) {
	t.Helper()
	start := time.Now()
	response := post(h, path, body, headers)
	require.Less(t, time.Since(start), time.Second)
	var got errorBody
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &got))
	row := want.Answer()
	require.Equal(t, row.Status, response.Code)
	require.Equal(t, row.Name, got.Kind, got.Message)
	require.NotEmpty(t, got.Message)
	require.Equal(t, row.Run, got.Run)
	require.Equal(t, row.CallerMayResend, got.MayResend)
	require.Equal(t, string(row.Run), response.Header().Get(HeaderRun))
}
