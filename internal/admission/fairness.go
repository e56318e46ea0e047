package admission

// maxFlows is the number of flows at which fairness evicts idle flows and the gate
// stops creating a flow for each customer.
const maxFlows = 64

// flowKey identifies the flow of calls of one customer in one class.
type flowKey struct {
	class    int
	customer string
}

// Fairness assigns the start tags of start-time fair queueing. Within a class, the
// calls of customers that have received less service are served first.
type Fairness struct {
	// virtualTime is the highest start tag of the calls served so far, by class.
	virtualTime map[int]float64
	// finish holds the finish tag of the last call of each flow.
	finish map[flowKey]float64
}

// NewFairness returns a Fairness without flows.
func NewFairness() *Fairness {
	return &Fairness{
		virtualTime: make(map[int]float64),
		finish:      make(map[flowKey]float64),
	}
}

// AssignTag returns the start tag of a call and adds its cost to the flow.
func (f *Fairness) AssignTag(class int, customer string, cost float64) float64 {
	key := flowKey{class, customer}
	start := max(f.virtualTime[class], f.finish[key])
	if len(f.finish) >= maxFlows {
		f.evictIdle()
	}
	f.finish[key] = start + cost
	return start
}

// Advance moves the virtual time of a class forward to the start tag of a call that
// is served.
func (f *Fairness) Advance(class int, start float64) {
	f.virtualTime[class] = max(f.virtualTime[class], start)
}

// Refund subtracts the cost of a call that did not run from its flow.
func (f *Fairness) Refund(class int, customer string, cost float64) {
	key := flowKey{class, customer}
	if finish, ok := f.finish[key]; ok {
		f.finish[key] = finish - cost
	}
}

// evictIdle removes the flows that would be treated the same if they were new. If
// more than half of maxFlows remain, it removes all, so that their number stays
// bounded.
func (f *Fairness) evictIdle() {
	for key, finish := range f.finish {
		if finish <= f.virtualTime[key.class] {
			delete(f.finish, key)
		}
	}
	if len(f.finish) > maxFlows/2 {
		clear(f.finish)
	}
}
