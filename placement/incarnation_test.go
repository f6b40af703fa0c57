package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	firstBorn  = 1764720000000
	secondBorn = firstBorn + 60_000
)

func started(service string, born int64) catalog.Replica {
	r := replicas(service, 1)[0]
	r.StartedAt = born
	r.Revision = born
	return r
}

// Guards against state of a crashed process that is applied to the next incarnation under
// the same id.
func TestNothingIsBelievedOfAStartThatWasBelievedOfTheOneBefore(t *testing.T) {
	for name, teach := range map[string]func(b *box, replica string, now time.Duration){
		"cached segments": func(b *box, _ string, now time.Duration) {
			c := b.Pick(newSharedRequest("manual", "r"), alone, now)
			b.End(&c, placement.Answered, time.Millisecond, now)
		},
		"cached segments of other boxes": func(b *box, replica string, now time.Duration) {
			b.RecordPeerLoads("b", []placement.OwnLoad{{
				Incarnation:    replica,
				RecentSegments: []placement.SegmentKey{placement.SegmentKeyOf("manual")},
			}}, now)
		},
		"requests in flight": func(b *box, _ string, now time.Duration) {
			b.Pick(newRequest("engine", "k"), alone, now)
		},
		"requests of other boxes": func(b *box, replica string, now time.Duration) {
			b.RecordPeerLoads("b", []placement.OwnLoad{{
				Incarnation: replica,
				Load: placement.Load{
					Requests: 7,
				},
			}}, now)
		},
		"load report": func(b *box, replica string, now time.Duration) {
			b.UseReports(true, 1)
			b.RecordReport(replica, placement.LoadReport{
				Requests: 7,
				At:       now,
			})
		},
		"report without a response": func(b *box, replica string, now time.Duration) {
			b.RecordReport(replica, placement.LoadReport{
				Unresponsive: true,
				At:           now + time.Millisecond,
			})
		},
		"failures": func(b *box, _ string, now time.Duration) {
			pickWithResult(b, "engine", placement.Failed, now)
		},
		"unreachable": func(b *box, _ string, now time.Duration) {
			failUntilEjected(b, "engine", placement.Unreachable, now)
		},
		"misdirected": func(b *box, _ string, now time.Duration) {
			pickWithResult(b, "engine", placement.Misdirected, now)
		},
		"slowness": func(b *box, _ string, now time.Duration) {
			c := b.Pick(newRequest("engine", "k"), alone, now)
			b.RecordFirstByte(&c, time.Second, now)
			b.End(&c, placement.Answered, time.Second, now)
		},
		"leaving": func(b *box, _ string, now time.Duration) {
			r := started("engine", firstBorn)
			r.Leaving = true
			r.Revision++
			b.publish(now, nil, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fresh := newBox("a", "hall", started("engine", secondBorn))
			b := newBox("a", "hall", started("engine", firstBorn))
			old := started("engine", firstBorn).Incarnation()
			now := start + time.Second
			teach(b, old, now)
			next := started("engine", secondBorn)
			changes := b.publish(now, nil, next)
			is.Equal(changes[0].Subject, next.Incarnation())
			is.Equal(changes[0].Reason, "replica started again")
			is.Equal(changes[1].Subject, old)
			is.Equal(changes[1].Reason, "replica replaced by a later start")

			got, want := b.Get(next.Incarnation()), fresh.Get(next.Incarnation())
			is.True(got.Listed())
			is.Equal(got.Own(), placement.Load{})
			is.Equal(b.Load(got, now), placement.Load{})
			is.Equal(got.FailureShare(now), want.FailureShare(now))
			is.Equal(got.Slowness(now), want.Slowness(now))
			is.Equal(got.ReportAge(now), want.ReportAge(now))
			is.True(!got.Ejected(now))
			choice := b.Pick(newSharedRequest("manual", "r-1"), alone, now+time.Minute) // after all rate limits
			is.Equal(choice.Reason, placement.None)
			is.Equal(choice.Incarnation, next.Incarnation())
			is.Equal(choice.ID, "engine-0") // the id
			plain := fresh.Pick(newSharedRequest("manual", "r-1"), alone, now+time.Minute)
			is.Equal(choice.PrefillTokens, plain.PrefillTokens)
			is.Equal(choice.Expect, plain.Expect)
		})
	}
}

func TestWhatBecomesOfRequestsToAnEarlierStartSaysNothingOfTheNext(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", started("plain", firstBorn))
	var inFlight []placement.Choice
	for n := range 5 {
		inFlight = append(inFlight, b.Pick(newRequest("plain", fmt.Sprint(n)), alone, start))
	}
	next := started("plain", secondBorn)
	b.publish(start, nil, next)
	now := start + 10*time.Second
	for i := range inFlight {
		b.End(&inFlight[i], placement.NoResponse, time.Second, now)
	}
	is.Equal(b.Get(inFlight[0].Incarnation).Own(), placement.Load{}) // released at the incarnation that received them
	got := b.Get(next.Incarnation())
	is.Equal(got.Own(), placement.Load{})
	is.True(!got.Ejected(now))
	is.Equal(got.FailureShare(now), 0.0)
	is.Equal(len(sendAll([]*box{b}, alone, "plain", now, now+time.Second)), 100) // not rate-limited
}

func TestAStartThatWasTriedDoesntStandForTheNext(t *testing.T) {
	is := is.New(t)
	first := started("plain", firstBorn)
	b := newBox("a", "hall", first)
	req := newRequest("plain", "k")
	req.Tried = []string{first.Incarnation()}
	is.Equal(b.Pick(req, alone, start).Reason, placement.Tried)
	b.publish(start, nil, started("plain", secondBorn))
	is.Equal(b.Pick(req, alone, start).Reason, placement.None)
}

func TestAWordOfAnEarlierStartSaysNothingOfTheNext(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", started("engine", firstBorn))
	next := started("engine", secondBorn)
	b.publish(start, nil, next)
	now := start + time.Second
	report := placement.LoadReport{
		Requests: 7,
		At:       now,
	}
	b.RecordReport(started("engine", firstBorn).Incarnation(), report)
	is.True(b.Get(next.Incarnation()).ReportAge(now) < 0)
	is.True(!b.RecordReport("engine-0", report)) // not an incarnation
	is.True(b.RecordReport(next.Incarnation(), report))
}

// Guards against a cold replica that receives twice its rate because boxes learn of its new
// incarnation at different times.
func TestAColdReplicaThatStartedAgainIsPacedForBoxesThatKnowEitherStart(t *testing.T) {
	is := is.New(t)
	cold := func(born int64) catalog.Replica {
		r := started("plain", born)
		r.ColdRemaining = 10_000
		return r
	}
	names := []string{"a", "b", "c"}
	var boxes []*box
	for _, name := range names {
		boxes = append(boxes, newBox(name, "hall", cold(firstBorn)))
	}
	until := start + 3*time.Second
	sends := sendAll(boxes, names, "plain", start, until)
	for _, b := range boxes {
		b.publish(until, nil, cold(secondBorn))
		from := until
		until += 400 * time.Millisecond
		sends = append(sends, sendAll(boxes, names, "plain", from, until)...)
		is.Equal(b.Pacer().IsCold("plain-0", until), true)
	}
	sends = append(sends, sendAll(boxes, names, "plain", until, until+2*time.Second)...)
	is.True(len(sends) > 10)
	is.True(maxPerSecond(sends) <= maxColdSends)
}

func TestAStartIsForgottenWhileTheNextIsPaced(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", started("plain", firstBorn))
	next := started("plain", secondBorn)
	next.ColdRemaining = 60_000
	b.publish(start, nil, next)
	now := start + 40*time.Second
	b.publish(now, nil, next)
	is.Equal(len(b.Replicas()), 1)
	is.True(b.Pacer().IsCold("plain-0", now))
}

// Guards against Next returning an id: Tried holds incarnations, so the same unreachable
// replica would be returned again.
func TestNextReturnsAnIncarnation(t *testing.T) {
	is := is.New(t)
	replica := started("plain", firstBorn)
	b := newBox("a", "hall", replica)
	req := newRequest("plain", "k")
	next := b.Next(req, alone, start)
	is.Equal(next.Incarnation, replica.Incarnation())
	req.Tried = []string{next.Incarnation}
	is.Equal(b.Next(req, alone, start).Reason, placement.Tried)
}

// Guards against End releasing load that Next did not reserve.
func TestEndAfterNextCanEjectAReplica(t *testing.T) {
	is := is.New(t)
	replica := started("plain", firstBorn)
	b := newBox("a", "hall", replica)
	for range 2 {
		next := b.Next(newRequest("plain", "k"), alone, start)
		b.End(&next, placement.Unreachable, time.Second, start)
	}
	got := b.Get(replica.Incarnation())
	is.True(got.Ejected(start))
	is.Equal(got.Own(), placement.Load{})
}
