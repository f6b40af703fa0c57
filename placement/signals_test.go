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
	is.Equal(len(b.Words(start)), 0)
	b.RecordSignalsOf("plain-0", leaving(), span(0, 1))
	b.RecordSignalsOf("plain-1", limited(2), span(0, 1))
	words := b.Words(start)
	is.Equal(len(words), 2)
	is.True(words[0].Signals.Leaving)
	is.Equal(words[1].Signals, limited(2))
	b.RecordSignalsOf("plain-1", placement.Signals{}, span(2, 3))
	is.Equal(len(b.Words(start+4*time.Second)), 2) // its end, too
	is.Equal(len(b.Words(start+time.Minute)), 1)
}
