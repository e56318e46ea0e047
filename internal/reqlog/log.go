package reqlog

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// maxLinesPerSecond bounds the lines per second of each event.
const maxLinesPerSecond = 20

// Log writes lines about single requests, with a rate limit for each event.
type Log struct {
	logger *zap.Logger
	scope  tally.Scope
	now    func() time.Time
	// mu guards events.
	mu     sync.Mutex
	events map[string]*window
}

// window counts the lines of one event in one second.
type window struct {
	second     int64
	written    int
	suppressed int
	counter    tally.Counter
}

// New returns a log. now is the clock of the rate limit.
func New(logger *zap.Logger, scope tally.Scope, now func() time.Time) *Log {
	return &Log{logger: logger, scope: scope, now: now, events: map[string]*window{}}
}

// Note counts an event of a request and writes a line for it unless the rate limit
// is reached. The first line after suppressed ones gives their number.
func (l *Log) Note(event, id string, fields ...zap.Field) {
	suppressed, ok := l.admit(event)
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, zap.Int("suppressed_before", suppressed))
	}
	l.logger.Info(event, append(fields, zap.String("request", id))...)
}

func (l *Log) admit(event string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.events[event]
	if w == nil {
		w = &window{counter: l.scope.Tagged(map[string]string{"event": event}).Counter("request_events")}
		l.events[event] = w
	}
	w.counter.Inc(1)
	if second := l.now().Unix(); second != w.second {
		w.second, w.written = second, 0
	}
	if w.written >= maxLinesPerSecond {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}
