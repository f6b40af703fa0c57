package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// sweepEvery is the time between two looks for starts that are to be forgotten.
const sweepEvery = time.Second

// entries is what a view keeps of the catalog beside its replicas, so that a change takes
// as long as what it changes, however many replicas there are.
type entries struct {
	from     *catalog.Content // of which the rest is
	count    int              // changes of it that were taken in
	unread   bool             // all of it is to be looked at again
	addrs    map[string]string
	at       map[string][]string   // ids by address
	starts   map[string][]*Replica // by id
	listed   map[string]int        // replicas by service
	ended    map[string]*Replica   // starts that are not listed
	doubtful []*Replica
	swept    time.Duration
}

func newEntries() entries {
	return entries{
		addrs:  make(map[string]string),
		at:     make(map[string][]string),
		starts: make(map[string][]*Replica),
		listed: make(map[string]int),
		ended:  make(map[string]*Replica),
	}
}

// take takes in which entries of a region have changed, and returns their ids with those
// that share an address with them, before or now, in order.
func (e *entries) take(c *catalog.Content, region string) []string {
	ids, count, ok := c.Touched(e.count)
	if !ok || e.unread || e.from != c {
		ids = e.all(c)
	}
	e.from = c
	e.count = count
	e.unread = false
	affected := make(map[string]bool, len(ids))
	share := func(addr string) {
		for _, id := range e.at[addr] {
			affected[id] = true
		}
	}
	for _, id := range ids {
		affected[id] = true
		share(e.addrs[id])
		info, _ := c.Replica(id)
		if info.Region != region {
			info.Addr = ""
		}
		e.move(id, info.Addr)
		share(info.Addr)
	}
	return slices.Sorted(maps.Keys(affected))
}

// all returns the ids of all entries and of all that were known.
func (e *entries) all(c *catalog.Content) []string {
	var out []string
	for _, r := range c.Replicas() {
		out = append(out, r.ID)
	}
	out = slices.AppendSeq(out, maps.Keys(e.addrs))
	out = slices.AppendSeq(out, maps.Keys(e.starts))
	slices.Sort(out)
	return slices.Compact(out)
}

// move takes in the address of an id; empty for none.
func (e *entries) move(id, addr string) {
	was := e.addrs[id]
	if was == addr {
		return
	}
	if was != "" {
		e.at[was] = slices.DeleteFunc(e.at[was], func(o string) bool { return o == id })
		if len(e.at[was]) == 0 {
			delete(e.at, was)
		}
	}
	if addr == "" {
		delete(e.addrs, id)
		return
	}
	e.addrs[id] = addr
	e.at[addr] = append(e.at[addr], id)
}

// place returns where a start is, or belongs, among all in order.
func (v *View) place(start string) (at int, found bool) {
	return slices.BinarySearchFunc(v.byName, start, func(r *Replica, start string) int { return cmp.Compare(r.start, start) })
}

// join takes in a start that was not known, and isn't listed yet.
func (v *View) join(r *Replica) {
	v.replicas[r.start] = r
	at, _ := v.place(r.start)
	v.byName = slices.Insert(v.byName, at, r)
	v.entries.starts[r.info.ID] = append(v.entries.starts[r.info.ID], r)
	v.entries.ended[r.start] = r
	v.joined(r.start)
}

// leave drops a start that isn't listed.
func (v *View) leave(r *Replica) {
	delete(v.replicas, r.start)
	if at, ok := v.place(r.start); ok {
		v.byName = slices.Delete(v.byName, at, at+1)
	}
	e := &v.entries
	e.starts[r.info.ID] = slices.DeleteFunc(e.starts[r.info.ID], func(o *Replica) bool { return o == r })
	if len(e.starts[r.info.ID]) == 0 {
		delete(e.starts, r.info.ID)
	}
	delete(e.ended, r.start)
	v.left(r.start)
}

// inform takes in what is published of a start, listed or not.
func (v *View) inform(r *Replica, info catalog.Replica) {
	if r.listed {
		v.entries.listed[r.info.Service]--
		v.entries.listed[info.Service]++
	}
	r.info = info
}

// list takes in that a start is listed as published.
func (v *View) list(r *Replica, info catalog.Replica) {
	v.inform(r, info)
	if r.listed {
		return
	}
	r.listed = true
	v.entries.listed[info.Service]++
	delete(v.entries.ended, r.start)
}

// unlist takes in that a start is listed no more.
func (v *View) unlist(r *Replica) {
	r.listed = false
	v.entries.listed[r.info.Service]--
	v.entries.ended[r.start] = r
}

// forgetEnded forgets the starts that have ended and been idle for long.
func (v *View) forgetEnded(now time.Duration) {
	if now-v.entries.swept < sweepEvery && now >= v.entries.swept {
		return
	}
	v.entries.swept = now
	for _, r := range v.entries.ended {
		if r.own.Requests == 0 && now-r.heard > forgetAfter {
			v.forget(r)
		}
	}
}
