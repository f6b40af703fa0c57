package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const sweepInterval = time.Second

// index holds the catalog's entries by id and by address, so that an update costs time
// proportional to the number of changed entries.
type index struct {
	content     *catalog.Content // source of the entries
	applied     int              // number of its changes that are applied
	stale       bool             // the next update reads all entries
	addrs       map[string]string
	idsByAddr   map[string][]string   // ids by address
	byID        map[string][]*Replica // incarnations by id
	listed      map[string]int        // number of listed replicas by service
	unlisted    map[string]*Replica   // incarnations that the catalog no longer holds, or not yet
	unconfirmed []*Replica
	putOff      []*Replica // with an entry that an older copy brought back
	sweptAt     time.Duration
}

func newIndex() index {
	return index{
		addrs:     make(map[string]string),
		idsByAddr: make(map[string][]string),
		byID:      make(map[string][]*Replica),
		listed:    make(map[string]int),
		unlisted:  make(map[string]*Replica),
	}
}

// update applies the changed entries of a region. It returns the sorted ids of these and of
// entries that share an address with them, before or after the change.
func (e *index) update(c *catalog.Content, region string) []string {
	ids, applied, ok := c.ChangedIDs(e.applied)
	if !ok || e.stale || e.content != c {
		ids = e.allIDs(c)
	}
	e.content = c
	e.applied = applied
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

// position returns the index of an incarnation in sorted, or where to insert it.
func (v *View) position(incarnation string) (at int, found bool) {
	return slices.BinarySearchFunc(v.sorted, incarnation, func(r *Replica, incarnation string) int { return cmp.Compare(r.incarnation, incarnation) })
}

// add records a new incarnation as unlisted.
func (v *View) add(r *Replica) {
	v.replicas[r.incarnation] = r
	at, _ := v.position(r.incarnation)
	v.sorted = slices.Insert(v.sorted, at, r)
	v.index.byID[r.info.ID] = append(v.index.byID[r.info.ID], r)
	v.index.unlisted[r.incarnation] = r
	v.onAdded(r.incarnation)
}

// remove deletes the record of an unlisted incarnation.
func (v *View) remove(r *Replica) {
	delete(v.replicas, r.incarnation)
	if at, ok := v.position(r.incarnation); ok {
		v.sorted = slices.Delete(v.sorted, at, at+1)
	}
	e := &v.index
	e.byID[r.info.ID] = slices.DeleteFunc(e.byID[r.info.ID], func(o *Replica) bool { return o == r })
	if len(e.byID[r.info.ID]) == 0 {
		delete(e.byID, r.info.ID)
	}
	delete(e.unlisted, r.incarnation)
	v.onRemoved(r.incarnation)
}

// setInfo updates the published state of an incarnation.
func (v *View) setInfo(r *Replica, info catalog.Replica) {
	if r.listed {
		v.index.listed[r.info.Service]--
		v.index.listed[info.Service]++
	}
	r.info = info
}

func (v *View) markListed(r *Replica, info catalog.Replica) {
	v.setInfo(r, info)
	if r.listed {
		return
	}
	r.listed = true
	v.index.listed[info.Service]++
	delete(v.index.unlisted, r.incarnation)
}

func (v *View) markUnlisted(r *Replica) {
	r.listed = false
	v.index.listed[r.info.Service]--
	v.index.unlisted[r.incarnation] = r
}

func (v *View) evictUnlisted(now time.Duration) {
	if now-v.index.sweptAt < sweepInterval && now >= v.index.sweptAt {
		return
	}
	v.index.sweptAt = now
	for _, r := range v.index.unlisted {
		if r.own.Requests == 0 && now-r.lastSeen > r.unlistedTTL() {
			v.evict(r)
		}
	}
}
