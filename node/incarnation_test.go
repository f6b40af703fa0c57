package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	firstStartMs  = 1764720000000
	secondStartMs = firstStartMs + 60_000
)

// publishRestart publishes a new incarnation of a replica at a revision.
func publishRestart(b *testBox, born, revision int64) catalog.Replica {
	r := replicas(b.settings.Region, 1)[0]
	r.StartedAt = born
	r.Revision = revision
	b.applyUpdate(catalog.Update{
		Changes: []catalog.Change{{
			Revision: revision,
			Replica:  &r,
		}},
		Revision: revision,
		Settled:  true,
	}, start)
	return r
}

// listedIncarnations returns the listed incarnations of a replica at a box.
func listedIncarnations(b *testBox, id string) []string {
	var out []string
	for _, r := range b.view.Replicas() {
		if r.ID() == id && r.Listed() {
			out = append(out, r.Incarnation())
		}
	}
	return out
}

func TestWhatBoxesTellOfAStartCountsForThatOneOnly(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := publishRestart(b, firstStartMs, 101)
	second := publishRestart(b, secondStartMs, 102)
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
	now := start + time.Second
	word := func(of string) []roster.CompactLoadReport {
		return []roster.CompactLoadReport{{
			Replica:  roster.ReplicaIDOf(of),
			Requests: 7,
		}}
	}
	heard := func() bool { return b.view.Get(second.Incarnation()).ReportAge(now) >= 0 }
	b.receiveLoadReports(word(first.Incarnation()), now)
	b.receiveLoadReports(word(first.ID), now)
	is.True(!heard())
	b.receiveLoadReports(word(second.Incarnation()), now)
	is.True(heard())

	load := func(of string) int {
		s := status("box-2", "a")
		s.Seq = int(now.Milliseconds())
		now += time.Millisecond
		s.Loads = []wire.ReplicaLoad{{
			Replica:  of,
			InFlight: 5,
		}}
		b.receiveStatus(s, now)
		return b.view.Get(second.Incarnation()).Load(now).Requests
	}
	is.Equal(load(first.Incarnation()), 0)
	is.Equal(load(second.Incarnation()), 5)
	is.Equal(load(first.ID), 0)
}

// Guards against a usage report of a new incarnation that is attributed to the previous one until the catalog
// entry changes.
func TestAReportTellsOfALaterStartBeforeItsEntryDoes(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := publishRestart(b, firstStartMs, 101)
	account := func(born int64, requests int, at time.Duration) {
		known := listedIncarnations(b, first.ID)[0]
		of, _ := b.reportingIncarnation(known, born, at)
		b.recordUsageReport(of, UsageReport{
			Running: requests,
		}, true, at, at)
	}
	at := start + time.Second
	account(firstStartMs, 3, at)
	account(0, 4, at+time.Millisecond) // the report names no incarnation
	is.Equal(listedIncarnations(b, first.ID), []string{first.Incarnation()})
	is.Equal(b.view.BusyReports(at + time.Millisecond)[0].Requests, 4)

	account(secondStartMs, 1, at+time.Second)
	second := first
	second.StartedAt = secondStartMs
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
	words := b.view.BusyReports(at + time.Second)
	is.Equal(len(words), 1)
	is.Equal(words[0].Replica, second.Incarnation())
	is.Equal(words[0].Requests, 1)

	account(firstStartMs, 9, at+2*time.Second) // a late report of the previous incarnation
	is.Equal(b.view.BusyReports(at + 2*time.Second)[0].Requests, 1)
	publishRestart(b, secondStartMs, 103) // the catalog entry arrives
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
	is.Equal(b.view.BusyReports(at + 2*time.Second)[0].Requests, 1) // its recorded load stays
	publishRestart(b, firstStartMs, 104)                            // a late write of the previous incarnation
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
}

func TestAReplicaThatIsAskedTellsOfItsLaterStart(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := publishRestart(b, firstStartMs, 101)
	leaving := first
	leaving.Leaving = true
	svc := b.table.Service(first.Service)
	changes := b.applyUpdate(replacementUpdate(leaving, svc, Identity{
		ID:        first.ID,
		StartedAt: secondStartMs,
	}), start)
	is.True(slices.ContainsFunc(changes, func(n placement.Change) bool {
		return n.Reason == "replica started again" && n.Addr == first.Addr
	}))
	got := b.content.Replicas()
	at := slices.IndexFunc(got, func(r catalog.Replica) bool { return r.ID == first.ID })
	is.Equal(got[at].StartedAt, int64(secondStartMs))
	is.True(!got[at].Leaving)
	is.Equal(got[at].ColdRemaining, svc.ColdFor)
	is.Equal(len(listedIncarnations(b, first.ID)), 1)
}

// Guards against taking a later start, or another replica at the address, for one of the same software version.
func TestAReplicaThatIsNotPublishedYetHasNoKnownSoftwareVersion(t *testing.T) {
	for _, id := range []string{"a-0", "other"} {
		is := is.New(t)
		b := newBox("box-1", "a", 1)
		first := publishRestart(b, firstStartMs, 101)
		first.Build = "v1"
		b.applyUpdate(replacementUpdate(first, b.table.Service(first.Service), Identity{
			ID:        id,
			StartedAt: secondStartMs,
		}), start)
		r, ok := b.content.Replica(id)
		is.True(ok)
		is.Equal(r.BuildID(), catalog.BuildID(0))
	}
}

// Guards against an incarnation reported only by the replica that overrides later entries of the store.
func TestTheStoreOverrulesAStartThatOnlyTheReplicaTold(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := publishRestart(b, firstStartMs, 101)
	second := first
	second.StartedAt = secondStartMs
	of, _ := b.reportingIncarnation(first.Incarnation(), secondStartMs, start)
	is.Equal(of, second.Incarnation())
	publishRestart(b, firstStartMs, 101) // published earlier
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
	publishRestart(b, firstStartMs, 102) // a newer entry
	is.Equal(listedIncarnations(b, first.ID), []string{first.Incarnation()})
	of, changes := b.reportingIncarnation(first.Incarnation(), secondStartMs, start+time.Second)
	is.Equal(of, first.Incarnation()) // it is not recorded again, which would rate-limit the replica forever
	is.Equal(len(changes), 0)
	publishRestart(b, secondStartMs, 103)
	is.Equal(listedIncarnations(b, first.ID), []string{second.Incarnation()})
	third := second
	third.StartedAt++
	of, _ = b.reportingIncarnation(second.Incarnation(), third.StartedAt, start+2*time.Second)
	is.Equal(of, third.Incarnation())
}
