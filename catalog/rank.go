package catalog

// ranks are the priorities of the routes of a service.
type ranks struct {
	first int // the most urgent
	last  int
}

// addRanks takes the priority of a route in for the services that run it.
func (t *Table) addRanks(r *Route) {
	for _, s := range r.Shares {
		k, ok := t.ranks[s.Service]
		if !ok {
			k = ranks{
				first: r.Priority,
				last:  r.Priority,
			}
		}
		k.first = min(k.first, r.Priority)
		k.last = max(k.last, r.Priority)
		t.ranks[s.Service] = k
	}
}

// Rank returns where a priority stands among those of the routes of a service: 0 for
// the most urgent, 1 for the least, 0 where all are alike.
func (t *Table) Rank(service string, priority int) float64 {
	k, ok := t.ranks[service]
	if !ok || k.last == k.first {
		return 0
	}
	return min(max(float64(priority-k.first)/float64(k.last-k.first), 0), 1)
}
