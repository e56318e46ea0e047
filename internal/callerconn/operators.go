package callerconn

import (
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/intake"
)

// Limits of a listener for operators, balancers and monitoring, whose requests are few and small.
const (
	operatorConns        = 64
	operatorBytes        = 1 << 20
	operatorHeaderBytes  = 16 << 10
	operatorReadTimeout  = 5 * time.Second
	operatorWriteTimeout = 30 * time.Second
	operatorIdleTimeout  = time.Minute
)

// ListenForOperators bounds the connections of a listener for operators.
func ListenForOperators(l net.Listener, scope tally.Scope) *Listener {
	return Listen(l, intake.Limits{Conns: operatorConns, Bytes: operatorBytes}, scope)
}

// OperatorServer returns a server for requests without bodies on a listener for operators.
func OperatorServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ConnState: Track, MaxHeaderBytes: operatorHeaderBytes,
		ReadTimeout: operatorReadTimeout, WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout,
	}
}
