package admission

// maxFlows is the number of flows above which idle ones are forgotten.
const maxFlows = 64

// flowKey names the calls of one customer in one class.
type flowKey struct {
	class    int
	customer string
}

// fairness assigns the start tags of start-time fair queueing: the calls of a
// customer that has received less service in a class are served first.
type fairness struct {
	// virtual is the start tag of the call last served, by class.
	virtual []float64
	// finish is the finish tag of the last call, by flow.
	finish map[flowKey]float64
}

func newFairness(classes int) fairness {
	return fairness{
		virtual: make([]float64, classes),
		finish:  make(map[flowKey]float64),
	}
}

// tag returns the start tag of a call and adds its cost to the flow.
func (f *fairness) tag(class int, customer string, cost float64) float64 {
	key := flowKey{class, customer}
	start := max(f.virtual[class], f.finish[key])
	if len(f.finish) >= maxFlows {
		f.forgetIdle()
	}
	f.finish[key] = start + cost
	return start
}

// served advances the virtual time of the class to the start tag of a call.
func (f *fairness) served(class int, start float64) {
	f.virtual[class] = max(f.virtual[class], start)
}

// untag takes back the cost of a call that did not run.
func (f *fairness) untag(class int, customer string, cost float64) {
	key := flowKey{class, customer}
	if finish, ok := f.finish[key]; ok {
		f.finish[key] = finish - cost
	}
}

// forgetIdle drops the flows that a new flow would not differ from, and all
// flows if most are active, so that their number stays bounded.
func (f *fairness) forgetIdle() {
	for key, finish := range f.finish {
		if finish <= f.virtual[key.class] {
			delete(f.finish, key)
		}
	}
	if len(f.finish) > maxFlows/2 {
		clear(f.finish)
	}
}
