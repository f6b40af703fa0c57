package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	policyBound      = 4 * time.Second // from publication of a policy until all boxes apply it: the shortest bound on it
	extraRoutes      = 1400            // added by each large policy
	largePolicies    = 3
	policyInterval   = 6 * time.Second
	emptyUpdateDelay = 1500 * time.Millisecond // until a version without a difference follows
	rolesSettleTime  = 12 * time.Second        // from a start until no follower waits for a watch of its own
	replaceInterval  = 500 * time.Millisecond  // between replacements of a replica
	leavingPerRegion = 3                       // replicas of a region that leave at once
	maxPoliciesSent  = 2                       // bytes that a box sends in total, as a multiple of the last policy
)

// policyChurn is a simulation that replaces replicas one by one while policies are published.
type policyChurn struct {
	*simulation
	t             *testing.T
	leaving       map[string]time.Time // leaving replicas, and since when
	version       int                  // of the last policy
	at            time.Time            // when it was published
	maxPolicyLag  time.Duration        // longest time from publication until all boxes applied a policy
	maxLeavingLag time.Duration        // longest time until all boxes of a region recorded that a replica leaves
}

func newPolicyChurn(t *testing.T, boxes int) *policyChurn {
	f := newSimulation(t.Context(), 1, boxes)
	f.links.Store(newLinks(narrowLink))
	f.listing.downlinks.Store(newDownlinks())
	return &policyChurn{
		simulation: f,
		t:          t,
		leaving:    make(map[string]time.Time),
		version:    1,
		at:         time.Now(),
	}
}

// publish publishes a policy with additional routes.
func (b *policyChurn) publish(routes int) *catalog.Policy {
	b.version += 2
	p := policy(b.version)
	for n := range routes {
		p.Routes = append(p.Routes, catalog.Route{
			Name:          fmt.Sprintf("r-%07x", n*7919),
			Host:          fmt.Sprintf("h%d.example", n*104729%10007),
			Prefix:        fmt.Sprintf("/p%d/", n*7919%10007),
			Kind:          catalog.Repeatable,
			Attempts:      2,
			Timeout:       2500,
			LatencyTarget: 400,
			Priority:      2,
			Shares: []catalog.Share{{
				Service: service,
				Weight:  1,
			}},
		})
	}
	b.at = time.Now()
	b.listing.publish(p)
	return p
}

func (l *listing) publish(p *catalog.Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	l.policy = p
	l.addChange(catalog.Change{
		Revision: l.rev,
		Policy:   p,
	})
}

// replace marks a replica as leaving, removes an earlier one, and lists a new one.
func (b *policyChurn) replace(n int) {
	r := b.listing.get(fmt.Sprintf("region-%d-%d", n%simRegions, n/simRegions%(listedReplicas/simRegions)))
	r.Leaving = true
	b.listing.put(r)
	b.leaving[r.ID] = time.Now()
	if n >= leavingPerRegion*simRegions {
		gone := fmt.Sprintf("region-%d-%d", n%simRegions, n/simRegions-leavingPerRegion)
		b.listing.drop(gone)
		b.removed[gone] = time.Now()
		delete(b.leaving, gone)
	}
	r.ID += "+"
	r.Leaving = false
	b.listing.put(r)
}

// watch checks all boxes until d is over.
func (b *policyChurn) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && b.violation == ""; {
		time.Sleep(checkInterval)
		b.checkBoxes()
		for _, box := range b.boxes {
			b.checkBox(box)
		}
	}
}

// checkBox records how far a box lags behind the published state.
func (b *policyChurn) checkBox(box *simBox) {
	n := box.node.Load()
	if n == nil {
		return
	}
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		if lag := time.Since(b.at); s.table == nil || s.table.Version() < b.version {
			b.maxPolicyLag = max(b.maxPolicyLag, lag)
			if lag > policyBound {
				b.violation = fmt.Sprintf("%s has no policy %d %v after it was published", box.settings.Box, b.version, lag)
			}
		}
		for _, r := range s.content.Replicas() {
			at, ok := b.leaving[r.ID]
			if !ok || r.Region != box.settings.Region || r.Leaving {
				continue
			}
			b.maxLeavingLag = max(b.maxLeavingLag, time.Since(at))
			if time.Since(at) > removalBound {
				b.violation = fmt.Sprintf("%s has no record that %s leaves %v after its announcement", box.settings.Box, r.ID, time.Since(at))
			}
		}
	})
}

// replaceFor replaces replicas at intervals until d is over.
func (b *policyChurn) replaceFor(first int, d time.Duration) (next int) {
	for range int(d / replaceInterval) {
		b.replace(first)
		b.watch(replaceInterval)
		first++
	}
	return first
}

// Guards against policies of thousands of routes that delay other updates: boxes must receive them as
// rate-limited differences, apart from catalog changes.
func TestAPolicyOfThousandsOfRoutesKeepsNothingElseBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newPolicyChurn(t, 60)
		defer b.end()
		b.watch(rolesSettleTime)
		b.links.Load().reset()
		n, size := 0, 0
		for i := range largePolicies {
			size = sizeOfPolicy(b.publish((i + 1) * extraRoutes))
			n = b.replaceFor(n, emptyUpdateDelay)
			b.publish((i + 1) * extraRoutes)
			n = b.replaceFor(n, policyInterval-emptyUpdateDelay)
			bytes, answers := b.links.Load().maxSent()
			t.Logf("%d routes: a box sent %d KB in %d answers, %d at once, longest queue %v; in force after %v, leaving recorded after %v, removals after %v; the listing gave a policy %d times",
				(i+1)*extraRoutes, bytes/1000, answers, b.links.Load().maxOpen, b.links.Load().longest, b.maxPolicyLag, b.maxLeavingLag, b.maxRemovalLag, b.listing.downlinks.Load().read)
		}
		if b.violation != "" {
			t.Error(b.violation)
		}
		if bytes, _ := b.links.Load().maxSent(); bytes > maxPoliciesSent*size {
			t.Errorf("a box sent %d KB of answers, and a policy has %d KB", bytes/1000, size/1000)
		}
	})
}
