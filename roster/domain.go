package roster

import "time"

// Limits for the detection of a failed failure domain.
const (
	domainTimeout  = 1250 * time.Millisecond // without a heartbeat of any of its boxes; five ticks, in which a box of a region of 98 receives some ten datagrams
	minSilentBoxes = 3                       // of the domain that still count as alive; fewer may fail independently
)

func (t *Table) recordDomainAlive(r *record) {
	if r.Status.Region != t.self.Region {
		return
	}
	if at, ok := t.domainLastSeen[r.Status.Domain]; !ok || r.LastHeartbeat > at {
		t.domainLastSeen[r.Status.Domain] = r.LastHeartbeat
	}
}

// SilentDomains returns the failure domains of the own region that have probably failed: no
// box of the domain has sent a heartbeat within domainTimeout, while one of another domain
// has. Their boxes should receive no callers, but keep their shares of quotas, as they may
// only be partitioned from this box.
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

// otherDomainAlive reports whether another failure domain has sent a heartbeat recently.
// Otherwise this box itself may be partitioned or paused.
func (t *Table) otherDomainAlive(than string, now time.Duration) bool {
	for domain, lastSeen := range t.domainLastSeen {
		if domain != than && now-lastSeen <= domainTimeout {
			return true
		}
	}
	return false
}

func (t *Table) aliveIn(domain string, now time.Duration) int {
	n := 0
	for _, r := range t.order {
		if r.Status.Region == t.self.Region && r.Status.Domain == domain && t.alive(r, now) {
			n++
		}
	}
	return n
}
