package queue

import (
	"container/heap"
	"time"
)

const (
	rollInterval  = 250 * time.Millisecond // between two updates of the rates of demand
	rollWeight    = 0.25                   // of the newest interval: a half-life of some 0.6 s
	lastingWeight = 0.1                    // of the newest demand in the lasting one: a half-life of some 1.6 s more
	minDemand     = 0.001                  // slots, below which a flow counts as without demand
	maxIdleFlows  = 1024                   // kept although they have no demand
	maxFlowsAtAll = 4096                   // idle flows beyond it are forgotten with their tags
)

// level holds the entries of one level of urgency, in start-time fair queueing.
type level struct {
	flows   map[string]*flow
	active  []*flow   // a heap by keys
	keys    []flowKey // of active, side by side for the scans
	virtual work      // greatest start tag that was served
	work    work
	count   int
	demand  float64 // sum over the flows
	lasting float64 // demand, averaged for longer: what delays less urgent levels
	busy    int     // flows with demand

	promised   work
	promisedAt time.Duration
}

// flowKey is what the scans over flows read of one.
type flowKey struct {
	start  work
	work   work
	mean   work // cost of an entry
	demand work // per second
}

// flowOf returns the record of a flow, which it creates if there is none.
func (l *level) flowOf(name string) *flow {
	f := l.flows[name]
	if f != nil {
		return f
	}
	if l.flows == nil {
		l.flows = make(map[string]*flow)
	}
	f = &flow{
		name:  name,
		index: idle,
		start: l.virtual,
	}
	l.flows[name] = f
	return f
}

// add puts an entry into its flow.
func (l *level) add(e *Entry) {
	f := e.flow
	if f.index == idle {
		f.start = max(f.start, l.virtual)
		f.seq = e.seq
		heap.Push(l, f)
	}
	f.trees[e.class].insert(e)
	f.count++
	f.work += e.cost
	f.bytes += e.bytes
	l.count++
	l.work += e.cost
	l.sync(f)
}

// remove takes an entry out of its flow.
func (l *level) remove(e *Entry) {
	f := e.flow
	f.trees[e.class].remove(e)
	f.count--
	f.work -= e.cost
	f.bytes -= e.bytes
	l.count--
	l.work -= e.cost
	if f.count > 0 {
		l.sync(f)
		return
	}
	heap.Remove(l, f.index)
}

// sync updates the key of an active flow.
func (l *level) sync(f *flow) {
	key := &l.keys[f.index]
	before := key.start
	key.start = f.tag()
	key.work = f.work
	key.mean = f.work / work(f.count)
	key.demand = work(f.demand * microseconds)
	if key.start != before {
		heap.Fix(l, f.index)
	}
}

// charge moves the tags on for an entry that is taken.
func (l *level) charge(e *Entry) {
	if e.class != returned {
		e.tag = e.flow.start
		e.flow.start += e.cost
	}
	l.virtual = max(l.virtual, e.tag)
}

// refund takes back the charge of an entry that was returned and won't be served.
func (l *level) refund(e *Entry) {
	if e.class != returned {
		return
	}
	e.flow.start -= e.cost
	if e.flow.index != idle {
		l.sync(e.flow)
	}
}

// first returns the flow that is served first, nil for none.
func (l *level) first() *flow {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0]
}

// after returns the flow that is served first of those behind a start tag and the arrival
// that decides between equal ones, nil for none.
func (l *level) after(start work, seq uint64) *flow {
	best := idle
	for i := range l.keys {
		key := l.keys[i].start
		if key < start || key == start && l.active[i].seq <= seq {
			continue
		}
		if best == idle || l.Less(i, best) {
			best = i
		}
	}
	if best == idle {
		return nil
	}
	return l.active[best]
}

// last returns the flow whose last entry is served last, nil for none.
func (l *level) last() *flow {
	return l.max(func(k *flowKey) work { return k.start + k.work })
}

// heaviest returns the flow with the most waiting work, nil for none.
func (l *level) heaviest() *flow { return l.max(func(k *flowKey) work { return k.work }) }

func (l *level) max(value func(k *flowKey) work) *flow {
	if len(l.keys) == 0 {
		return nil
	}
	best := 0
	for i := range l.keys {
		if value(&l.keys[i]) > value(&l.keys[best]) {
			best = i
		}
	}
	return l.active[best]
}

// largest returns the flow that holds the most bytes, nil for none.
func (l *level) largest() *flow {
	var best *flow
	for _, f := range l.active {
		if best == nil || f.bytes > best.bytes {
			best = f
		}
	}
	return best
}

// roll updates the rates of demand and forgets flows that have had none for long.
func (l *level) roll() {
	l.demand = 0
	l.busy = 0
	for name, f := range l.flows {
		slots := float64(f.arrived) / float64(rollInterval.Microseconds())
		f.demand += rollWeight * (slots - f.demand)
		f.arrived = 0
		l.demand += f.demand
		if f.demand >= minDemand {
			l.busy++
		}
		switch {
		case f.index != idle:
			l.keys[f.index].demand = work(f.demand * microseconds)
		case len(l.flows) > maxFlowsAtAll, len(l.flows) > maxIdleFlows && l.forgettable(f):
			delete(l.flows, name)
		}
	}
	l.lasting += lastingWeight * (l.demand - l.lasting)
}

func (l *level) forgettable(f *flow) bool {
	return f.start <= l.virtual && f.demand < minDemand && f.promised == 0
}

// Len is for container/heap.
func (l *level) Len() int { return len(l.active) }

// Less is for container/heap.
func (l *level) Less(i, j int) bool {
	if a, b := l.keys[i].start, l.keys[j].start; a != b {
		return a < b
	}
	return l.active[i].seq < l.active[j].seq
}

// Swap is for container/heap.
func (l *level) Swap(i, j int) {
	l.active[i], l.active[j] = l.active[j], l.active[i]
	l.keys[i], l.keys[j] = l.keys[j], l.keys[i]
	l.active[i].index = i
	l.active[j].index = j
}

// Push is for container/heap.
func (l *level) Push(x any) {
	f := x.(*flow)
	f.index = len(l.active)
	l.active = append(l.active, f)
	l.keys = append(l.keys, flowKey{start: f.tag()})
}

// Pop is for container/heap.
func (l *level) Pop() any {
	end := len(l.active) - 1
	f := l.active[end]
	f.index = idle
	l.active[end] = nil
	l.active = l.active[:end]
	l.keys = l.keys[:end]
	return f
}
