package placement

import "github.com/havenrudder/havenrudder/catalog"

// maxUnconfirmedShare is the share of a service's replicas with unconfirmed removal up to
// which these receive no requests. If more are affected, the publisher has likely failed,
// not the replicas.
const maxUnconfirmedShare = 0.1

// updatePutOff marks the replicas that may be gone although the publisher lists them.
func (v *View) updatePutOff(c *catalog.Content) {
	e := &v.index
	for _, r := range e.putOff {
		r.putOff = false
	}
	e.putOff = e.putOff[:0]
	for _, id := range c.PutOff() {
		for _, r := range e.byID[id] {
			r.putOff = true
			e.putOff = append(e.putOff, r)
		}
	}
}

// updateUnconfirmed marks the replicas whose removal from the catalog is unconfirmed.
func (v *View) updateUnconfirmed(c *catalog.Content) {
	e := &v.index
	for _, r := range e.unconfirmed {
		r.unconfirmed = false
	}
	e.unconfirmed = e.unconfirmed[:0]
	count := make(map[string]int)
	for _, id := range c.UnconfirmedRemovals() {
		for _, r := range e.byID[id] {
			if r.listed {
				e.unconfirmed = append(e.unconfirmed, r)
				count[r.info.Service]++
			}
		}
	}
	for _, r := range e.unconfirmed {
		s := r.info.Service
		r.unconfirmed = float64(count[s]) <= maxUnconfirmedShare*float64(e.listed[s])
	}
}
