package roster

import "time"

// Figures of a failure domain that falls silent as a whole.
const (
	domainTimeout  = 1250 * time.Millisecond // without a sign of life of any of its boxes: five ticks, in which a box of a region of 98 hears some ten datagrams
	minSilentBoxes = 3                       // boxes of it that count as alive; a box or two may be lost each for itself
)

// recordDomainAlive takes in a sign of life of a failure domain of the own region.
func (t *Table) recordDomainAlive(r *record) {
	if r.Status.Region != t.self.Region {
		return
	}
	if at, ok := t.domainLastSeen[r.Status.Domain]; !ok || r.Heard > at {
		t.domainLastSeen[r.Status.Domain] = r.Heard
	}
}

// SilentDomains returns the failure domains of the own region that fell silent as a
// whole: no box of them was heard for a time in which another domain was. One box that is
// silent for so long may have lost its datagrams; three or more that have nothing in
// common but their domain are lost with it, and take no callers. Their shares of quotas
// stay theirs, for they may only be cut off.
func (t *Table) SilentDomains(now time.Duration) []string {
	var out []string
	for domain, lastSeen := range t.domainLastSeen {
		if domain == t.self.Domain || now-lastSeen <= domainTimeout {
			continue
		}
		if t.otherDomainAlive(domain, now) && t.aliveIn(domain, now) >= minSilentBoxes {
			out = append(out, domain)
		}
	}
	return out
}

// otherDomainAlive says whether another failure domain of the region was heard of late:
// otherwise it may be this box that is cut off or was paused.
func (t *Table) otherDomainAlive(than string, now time.Duration) bool {
	for domain, lastSeen := range t.domainLastSeen {
		if domain != than && now-lastSeen <= domainTimeout {
			return true
		}
	}
	return false
}

// aliveIn returns how many boxes of a failure domain of the own region count as alive.
func (t *Table) aliveIn(domain string, now time.Duration) int {
	n := 0
	for _, r := range t.order {
		if r.Status.Region == t.self.Region && r.Status.Domain == domain && t.alive(r, now) {
			n++
		}
	}
	return n
}
