package placement

import "github.com/havenrudder/havenrudder/catalog"

// doubtsMost is the share of a service's replicas in doubt up to which they get nothing
// new. Where more are, the publisher was away and most of them will come back.
const doubtsMost = 0.1

// takeDoubts takes in which replicas may be gone, though that is not believed yet. A
// request to one that is gone for good costs a try, and one that serves on without
// being listed must not get any.
func (v *View) takeDoubts(c *catalog.Content) {
	e := &v.entries
	for _, r := range e.doubtful {
		r.doubtful = false
	}
	e.doubtful = e.doubtful[:0]
	count := make(map[string]int)
	for _, id := range c.Doubts() {
		for _, r := range e.starts[id] {
			if r.listed {
				e.doubtful = append(e.doubtful, r)
				count[r.info.Service]++
			}
		}
	}
	for _, r := range e.doubtful {
		s := r.info.Service
		r.doubtful = float64(count[s]) <= doubtsMost*float64(e.listed[s])
	}
}
