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

// formatHeld encodes the snapshots that the leaf holds and their key ranges for its
// reports. The caller must hold mu.
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

// crashOnPoison crashes the leaf because of a poison request, and restarts it
// later if RestartAfter is set.
func (l *Leaf) crashOnPoison(f Faults) {
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
		l.crashOnPoison(work.faults)
		l.finish(work.record, false)
		return
	}
	if refusal != "" {
		l.refuse(w, r, refusal)
		return
	}
	abortReason := l.work(r, work.duration)
	l.finish(work.record, abortReason == "")
	if abortReason != "" {
		l.refuse(w, r, abortReason)
		return
	}
	l.answer(w, r, work, body)
}

func (l *Leaf) refuse(w http.ResponseWriter, r *http.Request, refusal string) {
	l.writeReport(w.Header())
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderRefusal, refusal)
	if refusal != refusalDeadline && refusal != refusalCanceled {
		w.Header().Set(target.HeaderRun, "no")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Acceptance is the body of a leaf's answer to a non-idempotent request.
type Acceptance struct {
	Leaf string `json:"leaf"`
	// Number is the number of non-idempotent requests that the leaf has run so far.
	Number int `json:"number"`
}

// acceptanceBody returns the answer to a non-idempotent request, or nil if the request
// is idempotent.
func (l *Leaf) acceptanceBody(record *Record) []byte {
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
	answer := l.acceptanceBody(work.record)
	if work.faults.CrossAnswers && work.previousBody != nil {
		body = work.previousBody
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
