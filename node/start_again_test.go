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
	firstBorn  = 1764720000000
	secondBorn = firstBorn + 60_000
)

// startAgain publishes that a replica of a box's region has started, at a revision.
func startAgain(b *testBox, born, revision int64) catalog.Replica {
	r := replicas(b.settings.Region, 1)[0]
	r.Born = born
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

// believed returns the starts of a replica that a box holds to be there.
func believed(b *testBox, id string) []string {
	var out []string
	for _, r := range b.view.Replicas() {
		if r.ID() == id && r.Listed() {
			out = append(out, r.Start())
		}
	}
	return out
}

func TestWhatBoxesTellOfAStartCountsForThatOneOnly(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := startAgain(b, firstBorn, 101)
	second := startAgain(b, secondBorn, 102)
	is.Equal(believed(b, first.ID), []string{second.Start()})
	now := start + time.Second
	word := func(of string) []roster.CompactWord {
		return []roster.CompactWord{{
			Replica:  roster.ReplicaIDOf(of),
			Requests: 7,
		}}
	}
	heard := func() bool { return b.view.Get(second.Start()).WordAge(now) >= 0 }
	b.receiveLoadReports(word(first.Start()), now)
	b.receiveLoadReports(word(first.ID), now)
	is.True(!heard())
	b.receiveLoadReports(word(second.Start()), now)
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
		return b.view.Get(second.Start()).Load(now).Requests
	}
	is.Equal(load(first.Start()), 0)
	is.Equal(load(second.Start()), 5)
	is.Equal(load(first.ID), 0)
}

// An engine that had started again told so in its report a heartbeat before its entry
// did. The report was taken for a word of the process before, whose prompts were gone.
func TestAReportTellsOfALaterStartBeforeItsEntryDoes(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := startAgain(b, firstBorn, 101)
	account := func(born int64, requests int, at time.Duration) {
		known := believed(b, first.ID)[0]
		of, _ := b.reportingIncarnation(known, born, at)
		b.recordUsageReport(of, Account{
			Running: requests,
		}, true, at, at)
	}
	at := start + time.Second
	account(firstBorn, 3, at)
	account(0, 4, at+time.Millisecond) // it doesn't say
	is.Equal(believed(b, first.ID), []string{first.Start()})
	is.Equal(b.view.Words(at + time.Millisecond)[0].Requests, 4)

	account(secondBorn, 1, at+time.Second)
	second := first
	second.Born = secondBorn
	is.Equal(believed(b, first.ID), []string{second.Start()})
	words := b.view.Words(at + time.Second)
	is.Equal(len(words), 1)
	is.Equal(words[0].Replica, second.Start())
	is.Equal(words[0].Requests, 1)

	account(firstBorn, 9, at+2*time.Second) // a late answer of the process before
	is.Equal(b.view.Words(at + 2*time.Second)[0].Requests, 1)
	startAgain(b, secondBorn, 103) // its entry
	is.Equal(believed(b, first.ID), []string{second.Start()})
	is.Equal(b.view.Words(at + 2*time.Second)[0].Requests, 1) // what is believed of the start stays
	startAgain(b, firstBorn, 104)                             // written late
	is.Equal(believed(b, first.ID), []string{second.Start()})
}

func TestAReplicaThatIsAskedTellsOfItsLaterStart(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := startAgain(b, firstBorn, 101)
	leaving := first
	leaving.Leaving = true
	svc := b.table.Service(first.Service)
	news := b.applyUpdate(replacementUpdate(leaving, svc, Identity{
		ID:   first.ID,
		Born: secondBorn,
	}), start)
	is.True(slices.ContainsFunc(news, func(n placement.Belief) bool {
		return n.Reason == "replica started again" && n.Addr == first.Addr
	}))
	got := b.content.Replicas()
	at := slices.IndexFunc(got, func(r catalog.Replica) bool { return r.ID == first.ID })
	is.Equal(got[at].Born, int64(secondBorn))
	is.True(!got[at].Leaving)
	is.Equal(got[at].ColdLeft, svc.ColdFor)
	is.Equal(len(believed(b, first.ID)), 1)
}

// A replica's own word of its start was held against every later entry that told another
// one, so that its word in the store that it leaves would have been passed over for good.
func TestTheStoreOverrulesAStartThatOnlyTheReplicaTold(t *testing.T) {
	is := is.New(t)
	b := newBox("box-1", "a", 1)
	first := startAgain(b, firstBorn, 101)
	second := first
	second.Born = secondBorn
	of, _ := b.reportingIncarnation(first.Start(), secondBorn, start)
	is.Equal(of, second.Start())
	startAgain(b, firstBorn, 101) // what was published before
	is.Equal(believed(b, first.ID), []string{second.Start()})
	startAgain(b, firstBorn, 102) // a change of its entry
	is.Equal(believed(b, first.ID), []string{first.Start()})
	of, news := b.reportingIncarnation(first.Start(), secondBorn, start+time.Second)
	is.Equal(of, first.Start()) // it isn't taken in over and over, which would pace it for ever
	is.Equal(len(news), 0)
	startAgain(b, secondBorn, 103)
	is.Equal(believed(b, first.ID), []string{second.Start()})
	third := second
	third.Born++
	of, _ = b.reportingIncarnation(second.Start(), third.Born, start+2*time.Second)
	is.Equal(of, third.Start())
}
