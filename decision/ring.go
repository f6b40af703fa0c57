package decision

// none marks the end of a list of slots.
const none = -1

// slot holds one queued event.
type slot struct {
	event Event
	order uint64 // grows with each event, over all classes
	next  int    // next slot of the same list, or none
}

// list is a first-in, first-out list of slots.
type list struct {
	head int
	tail int
}

// ring is a queue of a fixed number of events. Each class has a list of its own
// over the shared slots, so that the oldest event of a class is found at once.
type ring struct {
	size  int
	slots []slot // allocated at the first put
	free  list
	lists [classes]list
	order uint64
}

// init allocates the slots and puts them all on the free list.
func (r *ring) init() {
	r.slots = make([]slot, r.size)
	r.free = list{
		head: none,
		tail: none,
	}
	for c := range r.lists {
		r.lists[c] = list{
			head: none,
			tail: none,
		}
	}
	for n := range r.slots {
		r.push(&r.free, n)
	}
}

// put queues e. When the ring is full, e takes the slot of the oldest event of
// the lowest class below its own. It returns the kind of the event that was lost
// that way, possibly that of e, and whether one was lost.
func (r *ring) put(e *Event, c class) (Kind, bool) {
	if r.slots == nil {
		r.init()
	}
	n := r.pop(&r.free)
	var lost Kind
	full := n == none
	if full {
		n = r.evict(c)
		if n == none {
			return e.Kind, true
		}
		lost = r.slots[n].event.Kind
	}
	r.order++
	r.slots[n].event = *e
	r.slots[n].order = r.order
	r.push(&r.lists[c], n)
	return lost, full
}

// evict takes out the oldest event of the lowest class below c and returns its
// slot, or none.
func (r *ring) evict(c class) int {
	for lower := routine; lower < c; lower++ {
		if n := r.pop(&r.lists[lower]); n != none {
			return n
		}
	}
	return none
}

// take removes the oldest event of all classes and copies it to e. It returns
// false when the ring is empty.
func (r *ring) take(e *Event) bool {
	if r.slots == nil {
		return false
	}
	oldest := none
	for c := range r.lists {
		n := r.lists[c].head
		if n == none {
			continue
		}
		if oldest == none || r.slots[n].order < r.slots[r.lists[oldest].head].order {
			oldest = c
		}
	}
	if oldest == none {
		return false
	}
	n := r.pop(&r.lists[oldest])
	*e = r.slots[n].event
	r.slots[n].event = Event{} // frees the texts
	r.push(&r.free, n)
	return true
}

func (r *ring) push(l *list, n int) {
	r.slots[n].next = none
	if l.head == none {
		l.head = n
	} else {
		r.slots[l.tail].next = n
	}
	l.tail = n
}

func (r *ring) pop(l *list) int {
	n := l.head
	if n == none {
		return none
	}
	l.head = r.slots[n].next
	if l.head == none {
		l.tail = none
	}
	return n
}
