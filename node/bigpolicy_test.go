package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	policyWithin = 4 * time.Second // of its publication a policy is in force in all boxes: the shortest bound on it
	bigRoutes    = 1400            // more in each of the big policies
	bigPolicies  = 3
	bigEvery     = 6 * time.Second
	idleAfter    = 1500 * time.Millisecond // a version without a difference follows
	allFollow    = 12 * time.Second        // of a start, until no box waits for a watch of its own that follows others
	leaveEvery   = 500 * time.Millisecond  // a replica leaves, another one comes
	lingers      = 3                       // replicas of a region that leave at once
	mostPolicies = 2                       // times the bytes of the last policy that a box sends in all
)

// busy is an installation whose replicas are replaced one by one while policies are
// published.
type busy struct {
	*follows
	t       *testing.T
	leaving map[string]time.Time // replicas that have said so
	version int                  // of the last policy
	at      time.Time            // when it was published
	inForce time.Duration        // longest until a policy was in force everywhere
	learned time.Duration        // longest until all boxes of a region knew that a replica leaves
}

func newBusy(t *testing.T, boxes int) *busy {
	f := newFollows(t.Context(), 1, boxes)
	f.links.Store(newLinks(narrowLink))
	f.listing.ways.Store(newDownlinks())
	return &busy{
		follows: f,
		t:       t,
		leaving: make(map[string]time.Time),
		version: 1,
		at:      time.Now(),
	}
}

// publish publishes a policy with so many routes beside the first.
func (b *busy) publish(routes int) *catalog.Policy {
	b.version += 2
	p := policy(b.version)
	for n := range routes {
		p.Routes = append(p.Routes, catalog.Route{
			Name:     fmt.Sprintf("r-%07x", n*7919),
			Host:     fmt.Sprintf("h%d.example", n*104729%10007),
			Prefix:   fmt.Sprintf("/p%d/", n*7919%10007),
			Kind:     catalog.Repeatable,
			Attempts: 2,
			Timeout:  2500,
			Goal:     400,
			Priority: 2,
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

// publish publishes a policy.
func (l *listing) publish(p *catalog.Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	l.policy = p
	l.tell(catalog.Change{
		Revision: l.rev,
		Policy:   p,
	})
}

// replace has a replica say that it leaves, removes one that said so before, and
// lists another one.
func (b *busy) replace(n int) {
	r := b.listing.get(fmt.Sprintf("region-%d-%d", n%regionsOf, n/regionsOf%(listed/regionsOf)))
	r.Leaving = true
	b.listing.put(r)
	b.leaving[r.ID] = time.Now()
	if n >= lingers*regionsOf {
		gone := fmt.Sprintf("region-%d-%d", n%regionsOf, n/regionsOf-lingers)
		b.listing.drop(gone)
		b.removed[gone] = time.Now()
		delete(b.leaving, gone)
	}
	r.ID += "+"
	r.Leaving = false
	b.listing.put(r)
}

// watch lets time go on and notes how late boxes learn.
func (b *busy) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && b.late == ""; {
		time.Sleep(lookEvery)
		b.look()
		for _, box := range b.boxes {
			b.lookAt(box)
		}
	}
}

// lookAt notes what a box doesn't know yet.
func (b *busy) lookAt(box *followBox) {
	n := box.node.Load()
	if n == nil {
		return
	}
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		if lag := time.Since(b.at); s.table == nil || s.table.Version() < b.version {
			b.inForce = max(b.inForce, lag)
			if lag > policyWithin {
				b.late = fmt.Sprintf("%s has no policy %d %v after it was published", box.settings.Box, b.version, lag)
			}
		}
		for _, r := range s.content.Replicas() {
			at, ok := b.leaving[r.ID]
			if !ok || r.Region != box.settings.Region || r.Leaving {
				continue
			}
			b.learned = max(b.learned, time.Since(at))
			if time.Since(at) > removalWithin {
				b.late = fmt.Sprintf("%s doesn't know that %s leaves %v after its word", box.settings.Box, r.ID, time.Since(at))
			}
		}
	})
}

// play replaces a replica every so often for a while.
func (b *busy) play(first int, d time.Duration) (next int) {
	for range int(d / leaveEvery) {
		b.replace(first)
		b.watch(leaveEvery)
		first++
	}
	return first
}

// Boxes with links of 10 Mbit/s, while replicas were replaced and configurations with
// 1,400 routes more each were published, sent at the full rate of their links for 8 s
// each time ("KB out a second: 192, 2076, 1235, 1302, 1061, 1144, 1166, 1125, 670, 142"),
// were not ready meanwhile, and sent to a replica 5.6 s after it had said that it leaves.
// The answer to each question what changed carried the whole policy as JSON: 311 KB with
// 1,400 routes, 932 KB with 4,200. A box that answered several took longer than the 0.7 s
// for which they wait, so that they asked again while it went on sending.
func TestAPolicyOfThousandsOfRoutesKeepsNothingElseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusy(t, 60)
		defer b.end()
		b.watch(allFollow)
		b.links.Load().reset()
		n, size := 0, 0
		for i := range bigPolicies {
			size = sizeOfPolicy(b.publish((i + 1) * bigRoutes))
			n = b.play(n, idleAfter)
			b.publish((i + 1) * bigRoutes)
			n = b.play(n, bigEvery-idleAfter)
			bytes, answers := b.links.Load().maxSent()
			t.Logf("%d routes: a box sent %d KB in %d answers, %d at once, longest queue %v; in force after %v, leaving known after %v, removals after %v; the listing gave a policy %d times",
				(i+1)*bigRoutes, bytes/1000, answers, b.links.Load().maxOpen, b.links.Load().longest, b.inForce, b.learned, b.worst, b.listing.ways.Load().read)
		}
		if b.late != "" {
			t.Error(b.late)
		}
		if bytes, _ := b.links.Load().maxSent(); bytes > mostPolicies*size {
			t.Errorf("a box sent %d KB of answers, and a policy has %d KB", bytes/1000, size/1000)
		}
	})
}
