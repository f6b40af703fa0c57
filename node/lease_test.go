package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	revokeWithin = 5 * time.Second // of the word that a key is taken away no request with it runs, on any box
	keysOf       = 12              // keys of the organisations together
	orgsOf       = 4
	leaseSettles = 4 * time.Second // of a box's start, or of a change of who hears whom, until it must have the lease
)

// keyring is an installation whose keys are given and taken away. It knows when each was taken
// away, which is all that its verdict goes by.
type keyring struct {
	*follows
	t       *testing.T
	version int
	gone    map[int]time.Time // keys that are taken away, and since when
	since   time.Time         // of the last change of who hears whom
	late    string            // what broke the bound
	out     int               // looks at boxes that lacked the lease though they might have had it
	looks   int
	oldest  time.Duration // lease age seen of a box that might have had it
}

func newKeyring(t *testing.T, seed uint64, boxes int) *keyring {
	f := newFollows(t.Context(), seed, 0)
	k := &keyring{
		follows: f,
		t:       t,
		version: 1,
		gone:    make(map[int]time.Time),
		since:   time.Now(),
	}
	f.listing.policy = k.policy()
	f.populate(boxes, func(s *Settings) { s.Bounds.RevokeWithin = revokeWithin })
	return k
}

// credential returns the n-th key as callers show it.
func credential(n int) string { return fmt.Sprint("key-", n) }

// policy returns the policy with all keys that aren't taken away.
func (k *keyring) policy() *catalog.Policy {
	p := policy(k.version)
	p.Keyed = true
	for o := range orgsOf {
		org := catalog.Organisation{
			Name: fmt.Sprint("org-", o),
			Quota: catalog.Quota{
				Unit: catalog.Requests,
			},
		}
		for n := o; n < keysOf; n += orgsOf {
			if _, gone := k.gone[n]; !gone {
				org.Keys = append(org.Keys, catalog.KeyOf(credential(n)))
			}
		}
		p.Organisations = append(p.Organisations, org)
	}
	return p
}

// publish publishes the keys as they are now.
func (k *keyring) publish() {
	k.version += 1 + k.rnd.IntN(3)
	k.listing.publish(k.policy())
}

// revoke takes some keys away, one after another.
func (k *keyring) revoke(count int, gap time.Duration) {
	for range count {
		n := k.rnd.IntN(keysOf)
		if _, gone := k.gone[n]; !gone {
			k.publishWithout(n)
		}
		time.Sleep(gap)
	}
}

// publishWithout takes a key away. It counts from when that is published.
func (k *keyring) publishWithout(n int) {
	k.gone[n] = time.Now()
	k.publish()
}

// restore gives all keys back.
func (k *keyring) restore() {
	clear(k.gone)
	k.publish()
}

// changed notes that who hears whom has changed.
func (k *keyring) changed() { k.since = time.Now() }

// cutOff cuts a region, or all of some boxes, off from all others.
func (k *keyring) cutOff(apart func(b *followBox) bool) {
	cut := func(from, to *followBox) bool { return apart(from) != apart(to) }
	k.cut.Store(&cut)
	k.changed()
}

// turnAllAway has all boxes but one turned away by the publisher for a while.
func (k *keyring) turnAllAway(but *followBox, d time.Duration) {
	for _, b := range k.boxes {
		k.listing.refuse(b.settings.Box, b != but)
		k.after(d, func() { k.listing.refuse(b.settings.Box, false) })
	}
}

// heal ends a cut.
func (k *keyring) heal() {
	k.cut.Store(nil)
	k.changed()
}

// watch lets time go on and looks at all boxes again and again. reaches says which of them have
// a way, if only by others, to the listing.
func (k *keyring) watch(d time.Duration, reaches func(b *followBox) bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && k.late == ""; {
		time.Sleep(lookEvery)
		for _, b := range k.boxes {
			if n := b.node.Load(); n != nil {
				k.lookAt(b, n, reaches(b))
			}
		}
	}
}

// lookAt notes whether a box lets a key in that was taken away too long ago.
func (k *keyring) lookAt(b *followBox, n *Node, reaches bool) {
	holds := n.keysValid() // before the table, as a request does
	table := n.table.Load()
	for key, at := range k.gone {
		if holds && table != nil && table.Organisation(catalog.KeyOf(credential(key))) != nil && time.Since(at) > revokeWithin {
			k.late = fmt.Sprintf("%s lets %s in %v after it was taken away, lease %v old", b.settings.Box, credential(key), time.Since(at), n.leaseAge())
		}
	}
	if !reaches || n.now() < leaseSettles || time.Since(k.since) < leaseSettles {
		return
	}
	k.looks++
	k.oldest = max(k.oldest, n.leaseAge())
	if !holds {
		k.out++
	}
}

// verdict fails the test if a bound was broken.
func (k *keyring) verdict() {
	k.t.Helper()
	k.end()
	if k.late != "" {
		k.t.Fatal(k.late)
	}
	if k.out > 0 {
		k.t.Fatalf("in %d of %d looks a box that could hear of the publisher lacked the lease", k.out, k.looks)
	}
	k.t.Logf("%d looks, the oldest lease %v", k.looks, k.oldest)
}

func all(*followBox) bool { return true }

// keyDays are what may happen to an installation while keys are taken away.
var keyDays = []struct {
	name string
	play func(k *keyring)
}{
	{"calm", func(k *keyring) {
		k.watch(8*time.Second, all)
		k.revoke(3, 300*time.Millisecond)
		k.watch(8*time.Second, all)
		k.restore()
		k.watch(3*time.Second, all)
		k.revoke(keysOf, 100*time.Millisecond)
		k.watch(8*time.Second, all)
	}},
	{"some boxes turned away by the publisher", func(k *keyring) {
		k.watch(8*time.Second, all)
		k.turnAway(0.35, 9*time.Second)
		k.listing.refuse(k.boxes[0].settings.Box, false) // one of them has a way
		k.revoke(4, 300*time.Millisecond)
		k.watch(12*time.Second, all)
		k.turnAllAway(k.someBox(), 9*time.Second)
		k.revoke(4, 100*time.Millisecond)
		k.watch(12*time.Second, all)
	}},
	{"the publisher away", func(k *keyring) {
		k.watch(8*time.Second, all)
		k.listing.setDown(true)
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, func(*followBox) bool { return false })
		k.listing.setDown(false)
		k.changed()
		k.watch(9*time.Second, all)
	}},
	{"a region cut off, with and without the publisher", func(k *keyring) {
		k.watch(8*time.Second, all)
		far := func(b *followBox) bool { return b.settings.Region == "region-1" }
		k.cutOff(far)
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, all)
		for _, b := range k.boxes {
			k.listing.refuse(b.settings.Box, far(b))
		}
		k.changed()
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, func(b *followBox) bool { return !far(b) })
		k.heal()
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, all)
	}},
	{"boxes restarted, and all killed", func(k *keyring) {
		k.watch(8*time.Second, all)
		for range 6 {
			k.restart(k.someBox(), time.Second)
			k.revoke(1, 200*time.Millisecond)
		}
		k.restartWatchers(700 * time.Millisecond)
		k.revoke(2, 200*time.Millisecond)
		k.changed()
		k.watch(9*time.Second, all)
		for _, b := range k.boxes {
			k.restart(b, 500*time.Millisecond)
		}
		k.revoke(3, 100*time.Millisecond)
		k.changed()
		k.watch(9*time.Second, all)
	}},
	{"a publisher that loses its history while no watch hears of changes", func(k *keyring) {
		k.watch(8*time.Second, all)
		for range 4 {
			k.listing.setDeaf(true)
			k.revoke(2, 400*time.Millisecond)
			k.listing.setDeaf(false)
			k.watch(6*time.Second, all)
			k.restore()
			k.watch(time.Second, all)
		}
	}},
	{"versions in quick succession", func(k *keyring) {
		k.watch(8*time.Second, all)
		for range 60 {
			k.publish()
			k.watch(100*time.Millisecond, all)
		}
		k.revoke(4, 50*time.Millisecond)
		k.watch(8*time.Second, all)
	}},
}

// A key that is taken away is let in by no box for longer than the bound, whoever is cut off,
// turned away or killed; and boxes that anyone who has a way to the publisher can reach go on
// letting the others in.
func TestNoBoxLetsAKeyInThatWasTakenAwayTooLongAgo(t *testing.T) {
	t.Parallel()
	for _, day := range keyDays {
		for _, boxes := range []int{3, 9, 30} {
			t.Run(fmt.Sprint(day.name, "/", boxes), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					synctest.Test(t, func(t *testing.T) {
						k := newKeyring(t, seed, boxes)
						day.play(k)
						k.verdict()
					})
				}
			})
		}
	}
}

func TestAKeyThatIsNotKnownIsNoneOnlyWhileTheKeysAreCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newKeyring(t, 1, 9)
		k.watch(8*time.Second, all)
		is.True(k.boxes[4].node.Load().keysCurrent())
		k.listing.setDown(true)
		k.watch(4*time.Second, func(*followBox) bool { return false })
		is.True(!k.boxes[4].node.Load().keysCurrent())
		k.end()
	})
}

// A seed at which a box that hears of the publisher by others lacked the lease.
func TestABoxThatIsTurnedAwayHoldsTheLeaseByOthersAtAnotherSeed(t *testing.T) {
	for _, day := range keyDays {
		if day.name != "some boxes turned away by the publisher" {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			k := newKeyring(t, 2, 30)
			day.play(k)
			k.verdict()
		})
	}
}
