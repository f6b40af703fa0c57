package fleet

import (
	"cmp"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Name returns the addresses of boxes for a caller, best first. Every replica is
// watched best by one box, and every prompt's prefix belongs to one replica: a
// caller that names its prefix is sent to the box that knows most of both. The
// others of the failure domain follow, then those of the region.
//
// Which box knows a replica best follows from the names alone, so all boxes
// agree, and a box more or less moves only its own share.
func (f *Fleet) Name(service, prefix string, leaving bool, now time.Duration) []string {
	key := prefix
	if key == "" {
		f.turn++
		key = f.self + "/" + strconv.Itoa(f.turn)
	}
	names := f.Serving(now)
	if !leaving {
		names = append(names, f.self)
	}
	best := key
	if prefix != "" {
		best = cmp.Or(f.first(service, prefix), key)
	}
	out := make([]string, 0, len(names))
	for _, name := range rendezvous.Rank(best, names) {
		out = append(out, f.address(name))
	}
	for _, b := range f.RegionBoxes(f.region, key) {
		out = append(out, b.Addr)
	}
	return out
}

func (f *Fleet) address(name string) string {
	if name == f.self {
		return f.addr
	}
	m, _ := f.table.Get(name)
	return m.Callers
}

// first returns the replica a prefix belongs to, empty when there is none.
func (f *Fleet) first(service, prefix string) string {
	best := ""
	var top uint64
	for _, r := range f.inventory.Of(service) {
		if r.Leaving {
			continue
		}
		if s := rendezvous.Score(prefix, r.Name); best == "" || s > top {
			best = r.Name
			top = s
		}
	}
	return best
}
