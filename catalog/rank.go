package catalog

// ranks are the priorities of the routes of a service, or of the organisations.
type priorityRange struct {
	first   int // the most urgent
	last    int
	defined bool
}

// with returns the ranks with one more priority.
func (k priorityRange) extend(priority int) priorityRange {
	if !k.defined {
		return priorityRange{
			first:   priority,
			last:    priority,
			defined: true,
		}
	}
	k.first = min(k.first, priority)
	k.last = max(k.last, priority)
	return k
}

// level returns where a priority stands among the ranks, 0 for the most urgent.
func (k priorityRange) level(priority int) int { return min(max(priority, k.first), k.last) - k.first }

// levels returns how many there are.
func (k priorityRange) levels() int { return k.last - k.first + 1 }

// addRanks takes the priority of a route in for the services that run it.
func (t *Table) addPriorities(r *Route) {
	for _, s := range r.Shares {
		t.priorityRange[s.Service] = t.priorityRange[s.Service].extend(r.Priority)
	}
}

// addOrganisation takes an organisation in.
func (t *Table) addOrganisation(o *Organisation) {
	t.byName[o.Name] = o
	t.quotas = t.quotas || o.Quota.Bounded()
	for _, k := range o.Keys {
		t.byKey[k] = o
	}
	t.organisationPriorities = t.organisationPriorities.extend(o.Priority)
}

// Rank returns where a request of a service stands among all of them, by the priority of its
// route and, before that, of its organisation, nil for none: 0 for the most urgent, 1 for the
// least, 0 where all are alike.
func (t *Table) Rank(service string, priority int, o *Organisation) float64 {
	routes := t.priorityRange[service]
	most := routes.levels()*t.organisationPriorities.levels() - 1
	if most == 0 {
		return 0
	}
	return float64(t.level(routes, priority, o)) / float64(most)
}

// Urgency returns the priority of a request of a service, 0 for the most urgent. Where no
// organisation has one of its own, it is that of its route.
func (t *Table) Urgency(service string, priority int, o *Organisation) int {
	if t.organisationPriorities.levels() == 1 {
		return priority
	}
	return t.level(t.priorityRange[service], priority, o)
}

// level returns the level of a request among those of the routes of a service.
func (t *Table) level(routes priorityRange, priority int, o *Organisation) int {
	out := routes.level(priority)
	if o != nil {
		out += t.organisationPriorities.level(o.Priority) * routes.levels()
	}
	return out
}
