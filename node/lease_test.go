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
	revocationBound = 5 * time.Second // from publication of a revocation until no box admits the key
	keyCount        = 12              // of all organisations
	orgCount        = 4
	leaseSettleTime = 4 * time.Second // from the start of a box or a change of the topology until it must have the lease
)

// keyring is a simulation that issues and revokes keys, and records when each was revoked.
type keyring struct {
	*simulation
	t           *testing.T
	version     int
	revoked     map[int]time.Time // revoked keys, and since when
	since       time.Time         // last change of the topology
	violation   string            // the first violation of the bound
	lost        int               // checks in which a box lacked a lease that it could have
	checks      int
	maxLeaseAge time.Duration // of a box that could have the lease
}

func newKeyring(t *testing.T, seed uint64, boxes int) *keyring {
	f := newSimulation(t.Context(), seed, 0)
	k := &keyring{
		simulation: f,
		t:          t,
		version:    1,
		revoked:    make(map[int]time.Time),
		since:      time.Now(),
	}
	f.listing.policy = k.policy()
	f.populate(boxes, func(s *Settings) { s.Bounds.RevocationTimeout = revocationBound })
	return k
}

// credential returns the n-th key as callers present it.
func credential(n int) string { return fmt.Sprint("key-", n) }

// policy returns the policy with all keys that are not revoked.
func (k *keyring) policy() *catalog.Policy {
	p := policy(k.version)
	p.Keyed = true
	for o := range orgCount {
		org := catalog.Organisation{
			Name: fmt.Sprint("org-", o),
			Quota: catalog.Quota{
				Unit: catalog.Requests,
			},
		}
		for n := o; n < keyCount; n += orgCount {
			if _, revoked := k.revoked[n]; !revoked {
				org.Keys = append(org.Keys, catalog.KeyOf(credential(n)))
			}
		}
		p.Organisations = append(p.Organisations, org)
	}
	return p
}

func (k *keyring) publish() {
	k.version += 1 + k.rnd.IntN(3)
	k.listing.publish(k.policy())
}

// revoke revokes random keys, one after another.
func (k *keyring) revoke(count int, gap time.Duration) {
	for range count {
		n := k.rnd.IntN(keyCount)
		if _, revoked := k.revoked[n]; !revoked {
			k.publishWithout(n)
		}
		time.Sleep(gap)
	}
}

// publishWithout revokes a key.
func (k *keyring) publishWithout(n int) {
	k.revoked[n] = time.Now()
	k.publish()
}

func (k *keyring) restore() {
	clear(k.revoked)
	k.publish()
}

func (k *keyring) topologyChanged() { k.since = time.Now() }

// cutOff partitions a set of boxes from all others.
func (k *keyring) cutOff(apart func(b *simBox) bool) {
	cut := func(from, to *simBox) bool { return apart(from) != apart(to) }
	k.cut.Store(&cut)
	k.topologyChanged()
}

// rejectAllBut has the publisher reject all boxes but one for a while.
func (k *keyring) rejectAllBut(but *simBox, d time.Duration) {
	for _, b := range k.boxes {
		k.listing.setRejects(b.settings.Box, b != but)
		k.after(d, func() { k.listing.setRejects(b.settings.Box, false) })
	}
}

func (k *keyring) heal() {
	k.cut.Store(nil)
	k.topologyChanged()
}

// watch checks all boxes until d is over. reaches reports whether a box reaches the listing, directly or over
// others.
func (k *keyring) watch(d time.Duration, reaches func(b *simBox) bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && k.violation == ""; {
		time.Sleep(checkInterval)
		for _, b := range k.boxes {
			if n := b.node.Load(); n != nil {
				k.checkBox(b, n, reaches(b))
			}
		}
	}
}

// checkBox checks that a box admits no key longer than allowed after its revocation.
func (k *keyring) checkBox(b *simBox, n *Node, reaches bool) {
	holds := n.keysValid() // before the table is loaded, as for a request
	table := n.table.Load()
	for key, at := range k.revoked {
		if holds && table != nil && table.Organisation(catalog.KeyOf(credential(key))) != nil && time.Since(at) > revocationBound {
			k.violation = fmt.Sprintf("%s admits %s %v after its revocation, lease %v old", b.settings.Box, credential(key), time.Since(at), n.leaseAge())
		}
	}
	if !reaches || n.now() < leaseSettleTime || time.Since(k.since) < leaseSettleTime {
		return
	}
	k.checks++
	k.maxLeaseAge = max(k.maxLeaseAge, n.leaseAge())
	if !holds {
		k.lost++
	}
}

// verdict fails the test if a bound was violated.
func (k *keyring) verdict() {
	k.t.Helper()
	k.end()
	if k.violation != "" {
		k.t.Fatal(k.violation)
	}
	if k.lost > 0 {
		k.t.Fatalf("in %d of %d checks a box that could reach the publisher lacked the lease", k.lost, k.checks)
	}
	k.t.Logf("%d checks, the oldest lease %v", k.checks, k.maxLeaseAge)
}

func anyBox(*simBox) bool { return true }

// rejectionDay has the publisher reject some boxes and then all but one.
func (k *keyring) rejectionDay() {
	k.watch(8*time.Second, anyBox)
	k.rejectSome(0.35, 9*time.Second)
	k.listing.setRejects(k.boxes[0].settings.Box, false) // one of them reaches the publisher
	k.revoke(4, 300*time.Millisecond)
	k.watch(12*time.Second, anyBox)
	k.rejectAllBut(k.someBox(), 9*time.Second)
	k.revoke(4, 100*time.Millisecond)
	k.watch(12*time.Second, anyBox)
}

// keyScenarios are disruptions of an installation while keys are revoked.
var keyScenarios = []struct {
	name string
	play func(k *keyring)
}{
	{"calm", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		k.revoke(3, 300*time.Millisecond)
		k.watch(8*time.Second, anyBox)
		k.restore()
		k.watch(3*time.Second, anyBox)
		k.revoke(keyCount, 100*time.Millisecond)
		k.watch(8*time.Second, anyBox)
	}},
	{"some boxes rejected by the publisher", (*keyring).rejectionDay},
	{"publisher down", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		k.listing.setDown(true)
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, func(*simBox) bool { return false })
		k.listing.setDown(false)
		k.topologyChanged()
		k.watch(9*time.Second, anyBox)
	}},
	{"a region cut off, with and without the publisher", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		far := func(b *simBox) bool { return b.settings.Region == "region-1" }
		k.cutOff(far)
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, anyBox)
		for _, b := range k.boxes {
			k.listing.setRejects(b.settings.Box, far(b))
		}
		k.topologyChanged()
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, func(b *simBox) bool { return !far(b) })
		k.heal()
		k.revoke(4, 100*time.Millisecond)
		k.watch(9*time.Second, anyBox)
	}},
	{"boxes restarted, and all killed", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		for range 6 {
			k.restart(k.someBox(), time.Second)
			k.revoke(1, 200*time.Millisecond)
		}
		k.restartWatchers(700 * time.Millisecond)
		k.revoke(2, 200*time.Millisecond)
		k.topologyChanged()
		k.watch(9*time.Second, anyBox)
		for _, b := range k.boxes {
			k.restart(b, 500*time.Millisecond)
		}
		k.revoke(3, 100*time.Millisecond)
		k.topologyChanged()
		k.watch(9*time.Second, anyBox)
	}},
	{"publisher loses its history while watches are stalled", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		for range 4 {
			k.listing.stallWatches(true)
			k.revoke(2, 400*time.Millisecond)
			k.listing.stallWatches(false)
			k.watch(6*time.Second, anyBox)
			k.restore()
			k.watch(time.Second, anyBox)
		}
	}},
	{"versions in quick succession", func(k *keyring) {
		k.watch(8*time.Second, anyBox)
		for range 60 {
			k.publish()
			k.watch(100*time.Millisecond, anyBox)
		}
		k.revoke(4, 50*time.Millisecond)
		k.watch(8*time.Second, anyBox)
	}},
}

// Guards against revoked keys that stay valid beyond the bound during partitions, rejections and crashes, and
// against boxes that reject valid keys although the publisher is reachable.
func TestNoBoxLetsAKeyInThatWasTakenAwayTooLongAgo(t *testing.T) {
	t.Parallel()
	for _, day := range keyScenarios {
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

func TestUnknownKeysAreRejectedOnlyWhileKeysAreCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newKeyring(t, 1, 9)
		k.watch(8*time.Second, anyBox)
		is.True(k.boxes[4].node.Load().keysCurrent(t.Context()))
		k.listing.setDown(true)
		k.watch(4*time.Second, func(*simBox) bool { return false })
		is.True(!k.boxes[4].node.Load().keysCurrent(t.Context()))
		k.end()
	})
}

// Guards, with a further seed, against a box that loses the lease although others reach the publisher.
func TestABoxThatIsTurnedAwayHoldsTheLeaseByOthersAtAnotherSeed(t *testing.T) {
	for _, day := range keyScenarios {
		if day.name != "some boxes rejected by the publisher" {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			k := newKeyring(t, 2, 30)
			day.play(k)
			k.verdict()
		})
	}
}

// Guards against a box that requests proofs less often although others renew its lease, and against slow
// requests to other regions that delay those within its own.
func TestABoxThatIsTurnedAwayHoldsTheLeaseWhileProofsAreOld(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{12, 27, 85, 298} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				k := newKeyring(t, seed, 30)
				k.rejectionDay()
				k.verdict()
			})
		})
	}
}
