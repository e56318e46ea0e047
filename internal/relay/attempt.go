package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// Reasons for which an answer of a leaf is not passed on as a success.
var (
	errNotRun    = errors.New("the leaf has not run the request")
	errOtherLeaf = errors.New("another leaf has the address")
	errUnsigned  = errors.New("the answer bears no signature")
	errEncoded   = errors.New("the body is compressed")
)

// classify fills in how an attempt ended.
func (a *attempt) classify(d Dialect, answer *leafconn.Answer, err error, part bool) {
	if err != nil {
		a.classifyError(err)
		return
	}
	a.answer = answer
	a.sent = true
	a.head = d.ReadAnswer(answer.Status, answer.Header)
	switch {
	case a.head.Misdirected:
		a.outcome, a.err = leafpick.Misdirected, errOtherLeaf
	case a.head.NotRun:
		a.outcome, a.err = leafpick.Refused, errNotRun
	case a.head.Successful && a.head.Signature == "":
		a.outcome, a.err, a.ran = leafpick.Failed, errUnsigned, true
	case a.head.Successful && a.head.Encoded:
		a.outcome, a.err, a.ran = leafpick.Failed, errEncoded, true
	case a.head.Successful || !part && answer.Status < 500:
		a.outcome, a.ran = leafpick.Answered, true
	default:
		a.outcome, a.ran = leafpick.Failed, true
		a.err = fmt.Errorf("the leaf answered with status %d", answer.Status)
	}
}

func (a *attempt) classifyError(err error) {
	a.err = err
	var failed *leafconn.Error
	refused := errors.As(err, &failed) && failed.Refused
	a.refused = refused && errors.Is(err, syscall.ECONNREFUSED)
	a.sent = failed == nil || failed.Sent
	a.ran = a.sent
	switch {
	case errors.Is(err, context.Canceled):
		a.outcome = leafpick.Abandoned
	case errors.Is(err, context.DeadlineExceeded):
		a.outcome = leafpick.TimedOut
	case refused:
		a.outcome = leafpick.Unreachable
	case errors.Is(err, leafconn.ErrTooLarge):
		a.outcome = leafpick.Failed
	default:
		a.outcome = leafpick.Lost
	}
}

// reason returns why the attempt failed.
func (a *attempt) reason() error {
	if a.err == nil {
		return errors.New("no reason is known")
	}
	return a.err
}
