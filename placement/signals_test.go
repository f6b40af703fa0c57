package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/placement"
)

func limited(perSecond float64) placement.Signals {
	return placement.Signals{
		Limit: placement.RateLimit{
			Named:     true,
			PerSecond: perSecond,
		},
	}
}

func leaving() placement.Signals {
	return placement.Signals{
		Leaving: true,
	}
}

// span returns the time in which an answer was made, in seconds after the start.
func span(from, to int) placement.Span {
	return placement.Span{
		From: start + time.Duration(from)*time.Second,
		To:   start + time.Duration(to)*time.Second,
	}
}

func limitOf(b *box, incarnation string) placement.RateLimit { return b.Get(incarnation).Limit() }

// Guards against an answer that is overtaken by a later one and undoes what that one reported.
func TestAnOlderAnswerDoesNotUndoANewerLimit(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	b.RecordSignalsOf("plain-0", limited(2), span(4, 5))
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(1, 3))), 0) // received before the other was written
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(2, 6))), 0) // may have been made before
	is.Equal(len(b.RecordSignalsOf("plain-0", limited(9), span(2, 6))), 0)
	is.Equal(limitOf(b, "plain-0"), limited(2).Limit)
	is.Equal(len(b.RecordSignalsOf("plain-0", limited(1), span(2, 6))), 1) // the stricter one of two at the same time
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(5, 7))), 0)
	is.Equal(len(b.RecordSignalsOf("plain-0", limited(3), span(6, 7))), 1)
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(7, 8))), 1)
	is.Equal(limitOf(b, "plain-0"), placement.RateLimit{})
	is.Equal(len(b.RecordSignalsOf("plain-0", limited(2), span(3, 6))), 0) // of before its end
	is.Equal(limitOf(b, "plain-0"), placement.RateLimit{})
}

func TestAMalformedLimitChangesNothing(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	b.RecordSignalsOf("plain-0", limited(2), span(1, 2))
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{Limit: placement.RateLimit{Unreadable: true}}, span(3, 4))), 0)
	is.Equal(limitOf(b, "plain-0"), limited(2).Limit)
	is.True(b.NoteMalformed("plain-0"))
	is.True(!b.NoteMalformed("plain-0"))
}

// Guards against a limit that outlives the process that named it.
func TestALimitBelongsToOneStartOfAReplica(t *testing.T) {
	is := is.New(t)
	first := replicas("plain", 1)[0]
	first.StartedAt = 1000
	b := newBox("a", "hall", first)
	c := b.Pick(newRequest("plain", "k"), alone, start)
	is.Equal(c.Incarnation, first.Incarnation())
	b.RecordSignals(&c, limited(2), span(0, 1))
	second := first
	second.StartedAt = 2000
	second.Revision = 5
	b.publish(start+2*time.Second, nil, second)
	is.Equal(limitOf(b, second.Incarnation()), placement.RateLimit{})
	b.RecordSignals(&c, limited(1), span(0, 3)) // a late answer of the first
	is.Equal(limitOf(b, second.Incarnation()), placement.RateLimit{})
	is.Equal(limitOf(b, first.Incarnation()), limited(1).Limit)
}

// Guards against a replica that gets requests again once its entry was read, lapsed or came back.
func TestAReplicaThatSaidItLeavesStaysSoWhateverItsEntrySays(t *testing.T) {
	is := is.New(t)
	r := replicas("plain", 1)[0]
	b := newBox("a", "hall", r)
	now := start
	reason := func() placement.Reason { return b.Pick(newRequest("plain", "k"), alone, now).Reason }
	is.Equal(reason(), placement.None)
	is.Equal(len(b.RecordSignalsOf("plain-0", leaving(), span(0, 1))), 1)
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(2, 3))), 0) // final
	is.Equal(reason(), placement.Leaving)
	r.Revision = 7
	b.publish(now, nil, r)
	is.Equal(reason(), placement.Leaving)
	b.publish(now, nil)
	for range 60 { // the entry is missing for longer than other replicas are recorded
		now += 2 * time.Second
		b.publish(now, nil)
	}
	r.Revision = 9
	b.publish(now, nil, r)
	is.Equal(reason(), placement.Leaving)
	r.StartedAt = 5000
	r.Revision = 10
	b.publish(now, nil, r)
	is.Equal(reason(), placement.None) // a new start has said nothing
}

func TestWhatAReplicaReportsIsToldToOtherBoxes(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 2)...)
	is.Equal(len(b.Observations(start)), 0)
	b.RecordSignalsOf("plain-0", leaving(), span(0, 1))
	b.RecordSignalsOf("plain-1", limited(2), span(0, 1))
	observations := b.Observations(start)
	is.Equal(len(observations), 2)
	is.True(observations[0].Signals.Leaving)
	is.Equal(observations[1].Signals, limited(2))
	b.RecordSignalsOf("plain-1", placement.Signals{}, span(2, 3))
	is.Equal(len(b.Observations(start+4*time.Second)), 2) // its end, too
	is.Equal(len(b.Observations(start+time.Minute)), 1)
}

func deferring(d time.Duration) placement.Signals {
	return placement.Signals{
		RetryAfter: d,
	}
}

// Guards against a shorter deferral that ends a longer one early.
func TestADeferralLastsUntilTheLatestEndThatWasAskedFor(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	pick := func(at time.Duration) placement.Choice { return b.Pick(newRequest("plain", "k"), alone, at) }
	is.Equal(len(b.RecordSignalsOf("plain-0", deferring(3*time.Second), span(0, 1))), 1)
	is.Equal(len(b.RecordSignalsOf("plain-0", deferring(500*time.Millisecond), span(1, 2))), 0)
	is.Equal(len(b.RecordSignalsOf("plain-0", placement.Signals{}, span(1, 2))), 0)
	c := pick(start + 3900*time.Millisecond)
	is.Equal(c.Reason, placement.Deferring)
	is.Equal(c.Blocked, "plain-0")
	is.True(c.Wait >= 100*time.Millisecond && c.Wait <= 400*time.Millisecond)
	is.Equal(pick(start+3900*time.Millisecond+c.Wait).Reason, placement.None)
}

func TestBoxesDoNotReturnToAReplicaInOneMoment(t *testing.T) {
	is := is.New(t)
	ends := make(map[time.Duration]bool)
	for _, name := range []string{"a", "b", "c", "d"} {
		b := newBox(name, "hall", replicas("plain", 1)...)
		b.RecordSignalsOf("plain-0", deferring(3*time.Second), span(0, 0))
		left := b.Get("plain-0").RetryWait(start)
		is.True(left >= 3*time.Second && left <= 3300*time.Millisecond)
		ends[left] = true
	}
	is.Equal(len(ends), 4)
}

// Guards against a replica that is ejected, or costs more, since it deferred requests.
func TestAReplicaThatDefersRequestsHasNotFailed(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	now := start
	for range 10 {
		c := b.Pick(newRequest("plain", "k"), alone, now)
		is.Equal(c.Reason, placement.None)
		b.RecordSignals(&c, deferring(200*time.Millisecond), placement.Span{From: now, To: now})
		b.End(&c, placement.Deferred, time.Millisecond, now)
		now += 300 * time.Millisecond
	}
	r := b.Get("plain-0")
	is.True(!r.Ejected(now))
	is.Equal(r.FailureShare(now), 0.0)
}

// Guards against requests that are written after their replica has deferred requests.
func TestARequestIsNotWrittenOnceItsReplicaDefers(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 2)...)
	late := b.Pick(newRequest("plain", "k"), alone, start)
	is.True(b.MayWrite(&late, start))
	b.RecordSignalsOf(late.Incarnation, deferring(time.Second), span(0, 0))
	is.True(!b.MayWrite(&late, start))
	is.True(b.MayWrite(&late, start+2*time.Second))
	b.RecordSignalsOf(late.Incarnation, leaving(), span(1, 1))
	is.True(!b.MayWrite(&late, start+2*time.Second))
	b.End(&late, placement.Declined, time.Millisecond, start)
	is.Equal(b.Get(late.Incarnation).Own().Requests, 0)
}

// Guards against a deferral that outlives the process that asked for it.
func TestADeferralBelongsToOneStartOfAReplica(t *testing.T) {
	is := is.New(t)
	first := replicas("plain", 1)[0]
	first.StartedAt = 1000
	b := newBox("a", "hall", first)
	b.RecordSignalsOf(first.Incarnation(), deferring(time.Hour), span(0, 1))
	second := first
	second.StartedAt = 2000
	second.Revision = 5
	b.publish(start+time.Second, nil, second)
	is.Equal(b.Pick(newRequest("plain", "k"), alone, start+time.Second).Reason, placement.None)
}

// Guards against a request that is written so late that its lender no longer counts it.
func TestARequestByALoanIsNotWrittenOnceTheLoanHasExpired(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	b.RecordSignalsOf("plain-0", limited(2), span(0, 0))
	l := b.Limiter()
	asked := l.Ask("plain-0", []string{"a", "b"}, start)
	is.Equal(len(asked), 1)
	is.True(l.Granted("plain-0", "b", asked[0].Nonce, start))
	c := b.Pick(newRequest("plain", "k"), nil, start) // without a list it has no share of its own
	is.Equal(c.Reason, placement.None)
	is.True(b.MayWrite(&c, start+400*time.Millisecond))
	is.True(!b.MayWrite(&c, start+500*time.Millisecond))
}

// Guards against a request on trial at a replica that must get none.
func TestUsableLeavesOutReplicasThatMustGetNothing(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", append(replicas("plain", 3), replicas("other", 1)...)...)
	b.RecordSignalsOf("plain-0", leaving(), span(1, 2))
	req := placement.Request{
		Service: "plain",
		Tried:   []string{"plain-2"},
	}
	is.Equal(b.Usable(req, start+3*time.Second), []string{"plain-1"})
}
