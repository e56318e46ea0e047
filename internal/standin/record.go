package standin

import "time"

// Record is one request as the leaf saw it.
type Record struct {
	RequestID  string
	Body       string
	Idempotent bool
	Snapshot   string
	Start, End time.Time
	// Ran reports that the work was done and not refused.
	Ran  bool
	Cold bool
}

// Counts are what a leaf counted since it was made, over all incarnations.
type Counts struct {
	Requests, Ran, Refused, Canceled int
	// MaxConcurrent is the greatest number of requests at once.
	MaxConcurrent int
	// MaxCold is the greatest number of requests at once while cold.
	MaxCold int
	// MaxConnections is the greatest number of open connections.
	MaxConnections int
	Crashes        int
	// Falls is the number of times that a cold leaf fell over.
	Falls int
}

// recorder keeps the latest records, and how often each request that is not
// idempotent ran.
type recorder struct {
	// limit bounds the records kept; zero keeps all.
	limit   int
	next    int
	records []*Record
	runs    map[string]int
	// number is the sum of runs.
	number int
}

func newRecorder(limit int) recorder {
	return recorder{limit: limit, runs: map[string]int{}}
}

func (r *recorder) add(record *Record) {
	if r.limit == 0 || len(r.records) < r.limit {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % r.limit
}

func (r *recorder) finish(record *Record, ran bool) {
	record.End = time.Now()
	record.Ran = ran
	if ran && !record.Idempotent {
		r.runs[record.RequestID]++
		r.number++
	}
}

// all returns copies of the records, the oldest first.
func (r *recorder) all() []Record {
	copies := make([]Record, 0, len(r.records))
	for i := range r.records {
		copies = append(copies, *r.records[(r.next+i)%len(r.records)])
	}
	return copies
}
