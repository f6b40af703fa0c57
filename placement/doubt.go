package placement

import "github.com/havenrudder/havenrudder/catalog"

// doubtsMost is the share of a service's replicas in doubt up to which they get nothing
// new. Where more are, the publisher was away and most of them will come back.
const doubtsMost = 0.1

// takeDoubts takes in which replicas may be gone, though that is not believed yet. A
// request to one that is gone for good costs a try, and one that serves on without
// being listed must not get any.
func (v *View) takeDoubts(c *catalog.Content) {
	listed := make(map[string]int)
	doubtful := make(map[string]int)
	for _, r := range v.replicas {
		r.doubtful = r.listed && c.InDoubt(r.info.ID)
		if !r.listed {
			continue
		}
		listed[r.info.Service]++
		if r.doubtful {
			doubtful[r.info.Service]++
		}
	}
	for _, r := range v.replicas {
		s := r.info.Service
		r.doubtful = r.doubtful && float64(doubtful[s]) <= doubtsMost*float64(listed[s])
	}
}
