package catalog

// priorityRange is the range of priorities of a service's routes, or of the organisations.
type priorityRange struct {
	first   int // the most urgent
	last    int
	defined bool
}

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

// level returns the position of a priority in the range, 0 for the most urgent.
func (k priorityRange) level(priority int) int { return min(max(priority, k.first), k.last) - k.first }

func (k priorityRange) levels() int { return k.last - k.first + 1 }

func (t *Table) addPriorities(r *Route) {
	for _, s := range r.Shares {
		t.priorityRange[s.Service] = t.priorityRange[s.Service].extend(r.Priority)
	}
}

func (t *Table) addOrganisation(o *Organisation) {
	t.byName[o.Name] = o
	t.quotas = t.quotas || o.Quota.Bounded()
	for _, k := range o.Keys {
		t.byKey[k] = o
	}
	t.organisationPriorities = t.organisationPriorities.extend(o.Priority)
}

// Rank returns the urgency of a request among all requests of a service, from 0 for the most
// urgent to 1, or 0 if there is only one level. The organisation's priority precedes the
// route's; nil is for no organisation.
func (t *Table) Rank(service string, priority int, o *Organisation) float64 {
	routes := t.priorityRange[service]
	lastLevel := routes.levels()*t.organisationPriorities.levels() - 1
	if lastLevel == 0 {
		return 0
	}
	return float64(t.level(routes, priority, o)) / float64(lastLevel)
}

// Urgency returns the priority of a request of a service, 0 for the most urgent. It is the
// route's priority if all organisations have the same one.
func (t *Table) Urgency(service string, priority int, o *Organisation) int {
	if t.organisationPriorities.levels() == 1 {
		return priority
	}
	return t.level(t.priorityRange[service], priority, o)
}

// Competes reports whether requests of a service compete for its capacity: its routes have more
// than one priority, or the policy has organisations. Only such a service has queues at the boxes
// and shares of its capacity; it is false for a service without routes.
func (t *Table) Competes(service string) bool {
	routes := t.priorityRange[service]
	return routes.defined && (routes.levels() > 1 || t.organisationPriorities.defined)
}

// level returns the combined level of a route's and an organisation's priority.
func (t *Table) level(routes priorityRange, priority int, o *Organisation) int {
	out := routes.level(priority)
	if o != nil {
		out += t.organisationPriorities.level(o.Priority) * routes.levels()
	}
	return out
}
