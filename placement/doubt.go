package placement

import "github.com/havenrudder/havenrudder/catalog"

// maxUnconfirmedShare is the share of a service's replicas in doubt up to which they get nothing
// new. Where more are, the publisher was away and most of them will come back.
const maxUnconfirmedShare = 0.1

// updateUnconfirmed takes in which replicas may be gone, though that is not believed yet. A
// request to one that is gone for good costs a try, and one that serves on without
// being listed must not get any.
func (v *View) updateUnconfirmed(c *catalog.Content) {
	e := &v.index
	for _, r := range e.unconfirmed {
		r.unconfirmed = false
	}
	e.unconfirmed = e.unconfirmed[:0]
	count := make(map[string]int)
	for _, id := range c.Doubts() {
		for _, r := range e.byID[id] {
			if r.listed {
				e.unconfirmed = append(e.unconfirmed, r)
				count[r.info.Service]++
			}
		}
	}
	for _, r := range e.unconfirmed {
		s := r.info.Service
		r.unconfirmed = float64(count[s]) <= maxUnconfirmedShare*float64(e.listedCount[s])
	}
}
