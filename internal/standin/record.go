package standin

import "time"

// Record is one request that a leaf received.
type Record struct {
	RequestID  string
	Body       string
	Idempotent bool
	Snapshot   string
	Start, End time.Time
	// Ran is set if the request was run to its end.
	Ran  bool
	Cold bool
}

// Counts holds the counters of a leaf over all its incarnations.
type Counts struct {
	// Canceled includes the requests whose deadline passed and those that crashed the
	// leaf.
	Requests, Ran, Refused, Canceled int
	// MaxConcurrent is the maximum number of concurrent requests.
	MaxConcurrent int
	// MaxCold is the maximum number of concurrent requests while the leaf was cold,
	// including one that made it fall over.
	MaxCold int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	Crashes        int
	// Falls is the number of times that the leaf fell over while cold.
	Falls int
}

// recorder keeps the latest records, and how often each non-idempotent request ran.
type recorder struct {
	// limit bounds the number of records kept; zero keeps all.
	limit int
	// next is the index of the oldest record, which the next one replaces, once limit
	// is reached.
	next    int
	records []*Record
	runs    map[string]int
	// number is the sum of the values of runs.
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
