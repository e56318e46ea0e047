// Package leafconn pools HTTP/1.1 connections to leaves and exchanges one request and answer
// at a time on each. It never sends a request twice.
package leafconn

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, which bounds
	// the time that sent bytes may stay unacknowledged.
	tcpUserTimeout = 18
	// unackedTimeout is the time that bytes or probes may stay unacknowledged before the
	// connection fails.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between probes of an idle connection.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection fails.
	keepAliveProbes = 2
)

// Dialer returns a dialer whose connections fail when the peer stops acknowledging bytes or
// probes. timeout bounds the time to connect.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}
