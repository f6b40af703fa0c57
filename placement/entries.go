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
	at          map[string][]string   // ids by address
	starts      map[string][]*Replica // by id
	listedCount map[string]int        // replicas by service
	unlisted    map[string]*Replica   // starts that are not listed
	unconfirmed []*Replica
	sweptAt     time.Duration
}

func newIndex() index {
	return index{
		addrs:       make(map[string]string),
		at:          make(map[string][]string),
		starts:      make(map[string][]*Replica),
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
		for _, id := range e.at[addr] {
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
	out = slices.AppendSeq(out, maps.Keys(e.starts))
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
		e.at[old] = slices.DeleteFunc(e.at[old], func(o string) bool { return o == id })
		if len(e.at[old]) == 0 {
			delete(e.at, old)
		}
	}
	if addr == "" {
		delete(e.addrs, id)
		return
	}
	e.addrs[id] = addr
	e.at[addr] = append(e.at[addr], id)
}

// position returns where a start is, or belongs, among all in order.
func (v *View) position(start string) (at int, found bool) {
	return slices.BinarySearchFunc(v.byName, start, func(r *Replica, start string) int { return cmp.Compare(r.start, start) })
}

// add takes in a start that was not known, and isn't listed yet.
func (v *View) add(r *Replica) {
	v.replicas[r.start] = r
	at, _ := v.position(r.start)
	v.byName = slices.Insert(v.byName, at, r)
	v.entries.starts[r.info.ID] = append(v.entries.starts[r.info.ID], r)
	v.entries.unlisted[r.start] = r
	v.joined(r.start)
}

// remove drops a start that isn't listed.
func (v *View) remove(r *Replica) {
	delete(v.replicas, r.start)
	if at, ok := v.position(r.start); ok {
		v.byName = slices.Delete(v.byName, at, at+1)
	}
	e := &v.entries
	e.starts[r.info.ID] = slices.DeleteFunc(e.starts[r.info.ID], func(o *Replica) bool { return o == r })
	if len(e.starts[r.info.ID]) == 0 {
		delete(e.starts, r.info.ID)
	}
	delete(e.unlisted, r.start)
	v.left(r.start)
}

// setInfo takes in what is published of a start, listed or not.
func (v *View) setInfo(r *Replica, info catalog.Replica) {
	if r.listed {
		v.entries.listedCount[r.info.Service]--
		v.entries.listedCount[info.Service]++
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
	v.entries.listedCount[info.Service]++
	delete(v.entries.unlisted, r.start)
}

// markUnlisted takes in that a start is listed no more.
func (v *View) markUnlisted(r *Replica) {
	r.listed = false
	v.entries.listedCount[r.info.Service]--
	v.entries.unlisted[r.start] = r
}

// evictUnlisted forgets the starts that have ended and been idle for long.
func (v *View) evictUnlisted(now time.Duration) {
	if now-v.entries.sweptAt < sweepInterval && now >= v.entries.sweptAt {
		return
	}
	v.entries.sweptAt = now
	for _, r := range v.entries.unlisted {
		if r.own.Requests == 0 && now-r.lastSeen > forgetAfter {
			v.forget(r)
		}
	}
}
