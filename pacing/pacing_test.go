package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const replica = "replica-1"

// testTerms give a bound of 6.3 sends at a rate of 2.2 a second.
var testTerms = Limit{
	Overage: 1.5,
	Slack:   3,
}

const (
	rate      = 2.2
	farFuture = time.Hour
)

func ExamplePacer_Take() {
	p := New("a", Limit{
		Overage: 1.5,
		Slack:   3,
	})
	boxes := []string{"a", "b", "c"}
	p.MarkCold("replica-1", 2.2, time.Minute)
	now := 10 * time.Second
	fmt.Println(p.Take("replica-1", boxes, now), p.Take("replica-1", boxes, now))
	fmt.Println(p.NextAllowed("replica-1", boxes, now) - now)
	// Output:
	// true false
	// 275ms
}

// takeEveryMillisecond calls Take in [from, to) and returns the times allowed. The replica answers at once.
func takeEveryMillisecond(p *Pacer, boxes []string, from, to time.Duration) []time.Duration {
	var sent []time.Duration
	for now := from; now < to; now += time.Millisecond {
		if p.Take(replica, boxes, now) {
			p.MarkArrived(replica, now, now)
			sent = append(sent, now)
		}
	}
	return sent
}

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("box-%d", i))
	}
	return out
}

// Guards against a cold replica that receives more than its bound because a slow
// connection delays the write of a send beyond the slack of the window.
func TestASendThatIsWrittenLateCountsFromThen(t *testing.T) {
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms) // has a share of one
	p.MarkCold(replica, rate, farFuture)
	from := 10 * time.Second
	is.True(p.Take(replica, boxes, from))
	written := from + 241*time.Millisecond
	p.MarkSent(replica, from, written)
	p.MarkArrived(replica, from, written)
	is.Equal(takeEveryMillisecond(p, boxes, written, written+2*window), []time.Duration{written + window}) // the second one is two windows later
}

// Guards against a cold replica that receives more than its bound because sends that a
// partition or a full link delayed arrive together with later ones.
func TestASendCountsUntilItHasArrived(t *testing.T) {
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms) // has a share of one
	p.MarkCold(replica, rate, farFuture)
	from := 10 * time.Second
	is.True(p.Take(replica, boxes, from))
	answered := from + 1700*time.Millisecond
	is.Equal(len(takeEveryMillisecond(p, boxes, from, answered)), 0) // it may arrive at any moment
	p.MarkArrived(replica, from, answered)
	is.Equal(takeEveryMillisecond(p, boxes, answered, answered+2*time.Second), []time.Duration{answered + time.Second})
}

// Guards against a box that sends nothing to a cold replica because of a send that is lost.
func TestASendThatIsNeverAnsweredCountsForALimitedTime(t *testing.T) {
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms)
	p.MarkCold(replica, rate, farFuture)
	from := 10 * time.Second
	is.True(p.Take(replica, boxes, from))
	is.Equal(takeEveryMillisecond(p, boxes, from, from+5*time.Second), []time.Duration{from + maxTransit + time.Second})
}

// Guards against sends to a warm replica that arrive late, after it has turned cold.
func TestSendsToAWarmReplicaCountUntilTheyHaveArrived(t *testing.T) {
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms)
	from := 10 * time.Second
	for n := range 2 * maxWarmSends {
		is.True(p.Take(replica, boxes, from+time.Duration(n)))
	}
	p.MarkCold(replica, rate, farFuture)
	answered := from + 2*time.Second
	is.Equal(len(takeEveryMillisecond(p, boxes, from, answered)), 0)
	for n := range 2 * maxWarmSends {
		p.MarkArrived(replica, from+time.Duration(n), answered)
	}
	is.Equal(takeEveryMillisecond(p, boxes, answered, answered+2*time.Second), []time.Duration{answered + time.Second})
}

func TestAColdReplicaIsUsed(t *testing.T) {
	is := is.New(t)
	boxes := names(3)
	total := 0
	for _, name := range boxes {
		p := New(name, testTerms)
		p.MarkCold(replica, rate, farFuture)
		total += len(takeEveryMillisecond(p, boxes, 10*time.Second, 20*time.Second))
	}
	t.Logf("%d sends in 10 s", total)
	is.True(total >= 40)
	is.True(total <= 63)
}

func TestTheSharesAddUpToTheBoundAtMost(t *testing.T) {
	for n := 1; n <= 12; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			boxes := names(n)
			senders, total := 0, 0
			for _, name := range boxes {
				p := New(name, testTerms)
				p.MarkCold(replica, rate, farFuture)
				sent := len(takeEveryMillisecond(p, boxes, 10*time.Second, 10*time.Second+window))
				total += sent
				senders += min(sent, 1)
			}
			is.Equal(senders, min(n, 6))
			is.True(total <= 6)
			is.True(total >= 4)
		})
	}
}

func TestABoxOutsideTheTopWaitsUntilTheReplicaIsWarm(t *testing.T) {
	is := is.New(t)
	boxes := names(9)
	last := rendezvous.Rank(replica, boxes)[8]
	p := New(last, testTerms)
	p.MarkCold(replica, rate, 20*time.Second)
	is.Equal(p.NextAllowed(replica, boxes, 10*time.Second), 20*time.Second)
	is.True(!p.Take(replica, boxes, 10*time.Second))
	is.True(p.Take(replica, boxes, 20*time.Second))
}

func TestABoundBelowOneAllowsNothing(t *testing.T) {
	is := is.New(t)
	p := New("a", Limit{
		Overage: 1.5,
		Slack:   0,
	})
	p.MarkCold(replica, 0.5, farFuture)
	is.Equal(p.NextAllowed(replica, []string{"a"}, 10*time.Second), farFuture)
	p.SetLimit(testTerms)
	is.True(p.Allow(replica, []string{"a"}, 10*time.Second))
}

func TestNoBoxesAllowNothing(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	p.MarkCold(replica, rate, farFuture)
	is.True(!p.Allow(replica, nil, 10*time.Second))
	is.True(!p.Allow(replica, []string{"b"}, 10*time.Second))
}

// Guards against a box that sends while requests of others, who shared without it, are under way.
func TestANewBoxWaitsUntilEarlierSendsNoLongerCount(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms, WithStart(5*time.Second))
	boxes := []string{"a"}
	is.True(p.Take("other", boxes, 5*time.Second)) // not cold
	p.MarkCold(replica, rate, farFuture)
	first := 5*time.Second + handover
	is.Equal(p.NextAllowed(replica, boxes, 5*time.Second), first)
	is.Equal(takeEveryMillisecond(p, boxes, 5*time.Second, first+window)[0], first)
}

// Guards against a box that takes over the share of a failed one whose sends are under way.
func TestABoxThatIsNoLongerListedCountsUntilItsSendsNoLongerDo(t *testing.T) {
	is := is.New(t)
	all := names(7)
	top := rendezvous.Top(replica, all, 7)
	p := New(top[6], testTerms) // has no share among seven
	p.MarkCold(replica, rate, farFuture)
	now := 10 * time.Second
	is.True(!p.Take(replica, all, now))
	left := top[1:]
	gone := now + 10*time.Second // it may have sent until then
	is.True(!p.Take(replica, left, gone))
	is.True(!p.Take(replica, left, gone+handover-1))
	is.True(p.Take(replica, left, gone+handover))
}

func TestSendsAreSpread(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	p.MarkCold(replica, rate, farFuture)
	sent := takeEveryMillisecond(p, []string{"a"}, 10*time.Second, 20*time.Second)
	for i := range len(sent) - 1 {
		is.True(sent[i+1]-sent[i] >= window/12)
	}
}

func TestNextIsWhenTakeIsAllowed(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	p.MarkCold(replica, rate, farFuture)
	boxes := []string{"a", "b"}
	now := 10 * time.Second
	for range 20 {
		is.True(p.Take(replica, boxes, now))
		p.MarkArrived(replica, now, now)
		next := p.NextAllowed(replica, boxes, now)
		is.True(next > now)
		is.True(!p.Allow(replica, boxes, next-1))
		now = next
	}
}

func TestAllowCountsNothing(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	p.MarkCold(replica, rate, farFuture)
	for range 20 {
		is.True(p.Allow(replica, []string{"a"}, 10*time.Second))
	}
}

func TestTheLaterUntilStays(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	p.MarkCold(replica, rate, 20*time.Second)
	p.MarkCold(replica, rate, 15*time.Second)
	is.True(p.IsCold(replica, 19*time.Second))
	is.True(!p.IsCold(replica, 20*time.Second))
	p.MarkWarm(replica)
	is.True(!p.IsCold(replica, 15*time.Second))
}

func TestSendsBeforeItTurnedColdCount(t *testing.T) {
	for _, n := range []int{1, 5, 6, 8, 9, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			p := New("a", testTerms)
			boxes := []string{"a"}
			now := 10 * time.Second
			for range n {
				is.True(p.Take(replica, boxes, now))
				p.MarkArrived(replica, now, now)
			}
			now += 500 * time.Millisecond
			p.MarkCold(replica, rate, farFuture)
			sent := takeEveryMillisecond(p, boxes, now, 10*time.Second+window)
			is.Equal(len(sent), max(0, 6-n))
			is.True(p.Allow(replica, boxes, 10*time.Second+window))
		})
	}
}

func TestMoreSendsThanAreRememberedCountAsAFullShare(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	boxes := []string{"a"}
	now := 10 * time.Second
	for range 2 * maxWarmSends {
		is.True(p.Take(replica, boxes, now))
		now += 10 * time.Millisecond
	}
	p.MarkCold(replica, 100, farFuture) // a share of 153
	lost := 10*time.Second + 70*time.Millisecond
	is.Equal(p.NextAllowed(replica, boxes, now), lost+window)
}

func TestSendsCountAcrossWarmAndForget(t *testing.T) {
	for _, drop := range []func(*Pacer, string){(*Pacer).MarkWarm, (*Pacer).Remove} {
		is := is.New(t)
		p := New("a", testTerms)
		boxes := []string{"a"}
		p.MarkCold(replica, rate, farFuture)
		is.Equal(len(takeEveryMillisecond(p, boxes, 10*time.Second, 11*time.Second)), 6)
		drop(p, replica)
		is.True(p.Allow(replica, boxes, 11*time.Second))
		p.MarkCold(replica, rate, farFuture)
		is.True(!p.Allow(replica, boxes, 11*time.Second))
	}
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	p := New("a", testTerms)
	for n := range 3 * maxWarm {
		name := fmt.Sprint(n)
		now := time.Duration(n) * time.Second
		p.MarkCold(name, rate, now+time.Second)
		is.True(p.Take(name, []string{"a"}, now+2*time.Second))
		for range 2 * maxWarmSends {
			is.True(p.Take(name, []string{"a"}, now+2*time.Second))
		}
	}
	is.Equal(len(p.cold), 0)
	is.Equal(p.warm.Len(), maxWarm)
	for _, h := range p.warm.Values() {
		is.True(len(h.sends) <= maxWarmSends)
	}
}

// Guards against a busy replica that is sent nothing for long after it turned cold because of a send that a box
// gave up long before, and of which no answer was ever recorded.
func TestASendThatWasGivenUpLongAgoDoesNotBlockAReplicaThatTurnsCold(t *testing.T) {
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms) // has a share of one
	now := 10 * time.Second
	is.True(p.Take(replica, boxes, now)) // never answered
	for now < 30*time.Second {
		now += 100 * time.Millisecond
		is.True(p.Take(replica, boxes, now))
		p.MarkArrived(replica, now, now)
	}
	p.MarkCold(replica, rate, farFuture)
	allowed := takeEveryMillisecond(p, boxes, now, now+maxTransit+window)
	is.True(len(allowed) > 0)
	is.True(allowed[0] <= now+window)
}

// Guards against the same where more sends are under way at any time than are kept of a warm replica.
func TestASendThatWasGivenUpLongAgoDoesNotBlockAReplicaThatWasBusy(t *testing.T) {
	const (
		gap      = 20 * time.Millisecond
		answerAt = 300 * time.Millisecond // after a send; maxWarmSends are made in half of it
	)
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms) // has a share of one
	now := 10 * time.Second
	is.True(p.Take(replica, boxes, now)) // never answered
	last := 30 * time.Second
	for now < last+answerAt {
		now += gap
		if now <= last {
			is.True(p.Take(replica, boxes, now))
		}
		if taken := now - answerAt; taken > 10*time.Second {
			p.MarkArrived(replica, taken, now)
		}
	}
	p.MarkCold(replica, rate, farFuture)
	allowed := takeEveryMillisecond(p, boxes, now, now+maxTransit+window)
	is.True(len(allowed) > 0)
	is.True(allowed[0] <= now+window)
}

// Guards against a record of unanswered sends that grows for as long as a warm replica answers none.
func TestUnansweredSendsToAWarmReplicaAreForgottenAfterATransit(t *testing.T) {
	const gap = 10 * time.Millisecond
	is := is.New(t)
	p := New("a", testTerms)
	for now := 10 * time.Second; now < 60*time.Second; now += gap {
		is.True(p.Take(replica, []string{"a"}, now))
	}
	is.True(len(p.warmHistory(replica).unanswered) <= int(retention/gap))
}

// Guards against a cold replica that a box sends nothing since slow requests from before are answered one by one.
func TestAnswersToSendsThatNoLongerCountKeepNothingBack(t *testing.T) {
	const (
		slow        = 20
		answerEvery = 500 * time.Millisecond
	)
	is := is.New(t)
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms)
	from := 10 * time.Second
	for n := range slow {
		is.True(p.Take(replica, boxes, from+time.Duration(n)))
	}
	p.MarkCold(replica, rate, farFuture)
	allowed := 0
	for n := range slow {
		now := from + 5*time.Second + time.Duration(n)*answerEvery
		p.MarkArrived(replica, from+time.Duration(n), now)
		for _, at := range takeEveryMillisecond(p, boxes, now, now+answerEvery) {
			p.MarkArrived(replica, at, at)
			allowed++
		}
	}
	is.True(allowed >= 8) // one in each window of 10 s
}
