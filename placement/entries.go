package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// sweepInterval is the time between two looks for starts that are to be forgotten.
const sweepInterval = time.Second

// index is what a view keeps of the catalog beside its replicas, so that a change takes
// as long as what it changes, however many replicas there are.
type index struct {
	content     *catalog.Content // of which the rest is
	seenChanges int              // changes of it that were taken in
	stale       bool             // all of it is to be looked at again
	addrs       map[string]string
	idsByAddr   map[string][]string   // ids by address
	byID        map[string][]*Replica // by id
	listedCount map[string]int        // replicas by service
	unlisted    map[string]*Replica   // starts that are not listed
	unconfirmed []*Replica
	sweptAt     time.Duration
}

func newIndex() index {
	return index{
		addrs:       make(map[string]string),
		idsByAddr:   make(map[string][]string),
		byID:        make(map[string][]*Replica),
		listedCount: make(map[string]int),
		unlisted:    make(map[string]*Replica),
	}
}

// update takes in which entries of a region have changed, and returns their ids with those
// that share an address with them, before or now, in order.
func (e *index) update(c *catalog.Content, region string) []string {
	ids, count, ok := c.Touched(e.seenChanges)
	if !ok || e.stale || e.content != c {
		ids = e.allIDs(c)
	}
	e.content = c
	e.seenChanges = count
	e.stale = false
	affected := make(map[string]bool, len(ids))
	addSharing := func(addr string) {
		for _, id := range e.idsByAddr[addr] {
			affected[id] = true
		}
	}
	for _, id := range ids {
		affected[id] = true
		addSharing(e.addrs[id])
		info, _ := c.Replica(id)
		if info.Region != region {
			info.Addr = ""
		}
		e.setAddr(id, info.Addr)
		addSharing(info.Addr)
	}
	return slices.Sorted(maps.Keys(affected))
}

// allIDs returns the ids of allIDs entries and of allIDs that were known.
func (e *index) allIDs(c *catalog.Content) []string {
	var out []string
	for _, r := range c.Replicas() {
		out = append(out, r.ID)
	}
	out = slices.AppendSeq(out, maps.Keys(e.addrs))
	out = slices.AppendSeq(out, maps.Keys(e.byID))
	slices.Sort(out)
	return slices.Compact(out)
}

// setAddr takes in the address of an id; empty for none.
func (e *index) setAddr(id, addr string) {
	old := e.addrs[id]
	if old == addr {
		return
	}
	if old != "" {
		e.idsByAddr[old] = slices.DeleteFunc(e.idsByAddr[old], func(o string) bool { return o == id })
		if len(e.idsByAddr[old]) == 0 {
			delete(e.idsByAddr, old)
		}
	}
	if addr == "" {
		delete(e.addrs, id)
		return
	}
	e.addrs[id] = addr
	e.idsByAddr[addr] = append(e.idsByAddr[addr], id)
}

// position returns where a start is, or belongs, among all in order.
func (v *View) position(start string) (at int, found bool) {
	return slices.BinarySearchFunc(v.byName, start, func(r *Replica, start string) int { return cmp.Compare(r.incarnation, start) })
}

// add takes in a start that was not known, and isn't listed yet.
func (v *View) add(r *Replica) {
	v.replicas[r.incarnation] = r
	at, _ := v.position(r.incarnation)
	v.byName = slices.Insert(v.byName, at, r)
	v.index.byID[r.info.ID] = append(v.index.byID[r.info.ID], r)
	v.index.unlisted[r.incarnation] = r
	v.onAdded(r.incarnation)
}

// remove drops a start that isn't listed.
func (v *View) remove(r *Replica) {
	delete(v.replicas, r.incarnation)
	if at, ok := v.position(r.incarnation); ok {
		v.byName = slices.Delete(v.byName, at, at+1)
	}
	e := &v.index
	e.byID[r.info.ID] = slices.DeleteFunc(e.byID[r.info.ID], func(o *Replica) bool { return o == r })
	if len(e.byID[r.info.ID]) == 0 {
		delete(e.byID, r.info.ID)
	}
	delete(e.unlisted, r.incarnation)
	v.onRemoved(r.incarnation)
}

// setInfo takes in what is published of a start, listed or not.
func (v *View) setInfo(r *Replica, info catalog.Replica) {
	if r.listed {
		v.index.listedCount[r.info.Service]--
		v.index.listedCount[info.Service]++
	}
	r.info = info
}

// markListed takes in that a start is listed as published.
func (v *View) markListed(r *Replica, info catalog.Replica) {
	v.setInfo(r, info)
	if r.listed {
		return
	}
	r.listed = true
	v.index.listedCount[info.Service]++
	delete(v.index.unlisted, r.incarnation)
}

// markUnlisted takes in that a start is listed no more.
func (v *View) markUnlisted(r *Replica) {
	r.listed = false
	v.index.listedCount[r.info.Service]--
	v.index.unlisted[r.incarnation] = r
}

// evictUnlisted forgets the starts that have ended and been idle for long.
func (v *View) evictUnlisted(now time.Duration) {
	if now-v.index.sweptAt < sweepInterval && now >= v.index.sweptAt {
		return
	}
	v.index.sweptAt = now
	for _, r := range v.index.unlisted {
		if r.own.Requests == 0 && now-r.lastSeen > unlistedTTL {
			v.evict(r)
		}
	}
}
