package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/redwingshelf/redwingshelf/internal/target"
)

func (l *Leaf) handleReport(w http.ResponseWriter, _ *http.Request) {
	l.writeReport(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

func (l *Leaf) writeReport(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := target.StateWarm
	switch {
	case l.faults.Leaving:
		state = target.StateLeaving
	case l.cold && !l.faults.ReportWarm:
		state = target.StateCold
	}
	h.Set(target.HeaderState, string(state))
	h.Set(target.HeaderIncarnation, strconv.Itoa(l.incarnation))
	h.Set(target.HeaderHeld, l.heldText)
}

// formatHeld needs mu.
func (l *Leaf) formatHeld() string {
	held := make([]target.Held, len(l.held))
	for i, s := range l.held {
		from, to := l.keyRange(s)
		held[i] = target.Held{Snapshot: s.Name, From: from, To: to}
	}
	return target.FormatHeld(held)
}

func (l *Leaf) keyRange(s *Snapshot) (from, to uint32) {
	if l.options.Shard >= len(s.Bounds) {
		return 0, 0
	}
	return s.Range(l.options.Shard)
}

func (l *Leaf) handleCancel(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	cancel := l.cancels[r.Header.Get(target.HeaderRequestID)]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// crashOn ends the leaf's process because of a poison request.
func (l *Leaf) crashOn(f Faults) {
	if f.RestartAfter > 0 {
		l.CrashFor(f.RestartAfter)
		return
	}
	l.Crash()
}

func (l *Leaf) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, target.MaxAnswer))
	if err != nil {
		return
	}
	work, refusal := l.admit(r, body)
	if work.crash {
		l.crashOn(work.faults)
		l.finish(work.record, false)
		return
	}
	if refusal != "" {
		l.refuse(w, r, refusal)
		return
	}
	end := l.work(r, work.duration)
	l.finish(work.record, end == "")
	if end != "" {
		l.refuse(w, r, end)
		return
	}
	l.answer(w, r, work, body)
}

func (l *Leaf) refuse(w http.ResponseWriter, r *http.Request, word string) {
	l.writeReport(w.Header())
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderRefusal, word)
	if word != refusalDeadline && word != refusalCanceled {
		w.Header().Set(target.HeaderRun, "no")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Acceptance is the body of a leaf's answer to a request that is not idempotent.
type Acceptance struct {
	Leaf string `json:"leaf"`
	// Number counts the requests that the leaf has run of this kind.
	Number int `json:"number"`
}

// accept returns the answer to a request that is not idempotent, nil for one
// that is.
func (l *Leaf) accept(record *Record) []byte {
	if record.Idempotent {
		return nil
	}
	l.mu.Lock()
	number := l.recorder.number
	l.mu.Unlock()
	answer, _ := json.Marshal(Acceptance{Leaf: l.options.Name, Number: number})
	return answer
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, work admitted, body []byte) {
	from, to := l.keyRange(work.snapshot)
	answer := l.accept(work.record)
	if work.faults.CrossAnswers && work.crossed != nil {
		body = work.crossed
	}
	if work.record.Idempotent {
		answer = work.snapshot.Answer(from, to, body)
	}
	l.writeReport(w.Header())
	id := r.Header.Get(target.HeaderRequestID)
	if work.faults.CrossAnswers {
		id = "other-" + id
	}
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set(target.HeaderSnapshot, work.snapshot.Name)
	w.Header().Set(target.HeaderKeyRange, target.FormatRange(from, to))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if work.faults.Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}
