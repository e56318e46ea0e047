package target

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"
)

// Bounds on what a leaf sends.
const (
	// maxHeadBytes bounds the headers of an answer, and maxInformational the number of
	// informational answers before it.
	maxHeadBytes     = 64 << 10
	maxInformational = 4
	// streamBuffer and connBuffer bound the bytes of bodies that a leaf may send before they
	// are read, for each call and each connection.
	streamBuffer = 256 << 10
	connBuffer   = 1 << 20
	// maxRestBytes and restTimeout bound the rest of a body that is not used.
	maxRestBytes = 64 << 10
	restTimeout  = 100 * time.Millisecond
	// oversizeHead is part of the error of net/http for a head of more than maxHeadBytes. The
	// error itself is not exported.
	oversizeHead = "header list larger"
)

var errTooManyInformational = errors.New("too many informational answers")

// informational counts the informational answers to one call.
type informational struct{ count atomic.Int32 }

// bound makes the call with the returned context fail after maxInformational of them.
func (i *informational) bound(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if i.count.Add(1) > maxInformational {
				return errTooManyInformational
			}
			return nil
		},
	})
}

// exceeded reports whether the call failed because of them. Its error does not wrap
// errTooManyInformational.
func (i *informational) exceeded() bool { return i.count.Load() > maxInformational }

// sentInvalidHead reports whether a call without an answer failed because of what the leaf
// sent, and not because its process or the network did.
func (c *conn) sentInvalidHead(err error) bool {
	if strings.Contains(err.Error(), oversizeHead) {
		return true
	}
	// The transport closes the connection of a leaf that violates the protocol.
	return c.client.Err() != nil && !c.retired.Load() && !c.raw.ended.Load() && time.Since(c.raw.lastReadTime()) < pingTimeout
}

// endBody reads the rest of a body and closes it. It reports whether the body has ended within
// the bounds.
func endBody(body io.ReadCloser) bool {
	timer := time.AfterFunc(restTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRestBytes+1))
	_ = body.Close()
	return err == nil && n <= maxRestBytes
}
