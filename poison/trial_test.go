package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newClusterOnTrial returns a cluster with two requests that have the same three crashes.
func newClusterOnTrial(t *testing.T, n int) *cluster {
	b := newCluster(t, n)
	for i := range quarantineThreshold {
		b.crashUnderBoth(fmt.Sprint("box-", i), fmt.Sprint("replica-", i))
	}
	b.run(2 * settleWindow)
	return b
}

// try requests a run on trial from a box until it is granted or a time is over.
func (b *cluster) try(name string, d Digest, within time.Duration) bool {
	for until := b.now + within; b.now < until; b.now += 40 * time.Millisecond {
		may, asks := b.watches[name].RequestTrial(d, func() []Box { return b.others(name) }, b.now)
		if may {
			return true
		}
		b.deliver(name, asks)
	}
	return false
}

func TestOneRunOfARequestOnTrialIsAllowedAtATime(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 9)
	allowed := 0
	for _, name := range b.names() {
		if b.try(name, innocent.Digest(), 200*time.Millisecond) {
			allowed++
		}
	}
	is.Equal(allowed, 1)
	b.now += trialTimeout
	is.True(b.try("box-3", innocent.Digest(), time.Second)) // the first run may have been lost
}

func TestAnotherOwnerGrantsARunOnTrialIfTheFirstIsGone(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 9)
	group := newGroup("nobody", b.all())
	_, owners := group.ownersOf(innocent.Digest())
	b.drop = func(_, to string) bool { return to == owners[0].Name }
	for _, name := range b.names() {
		if name != owners[0].Name {
			is.True(b.try(name, innocent.Digest(), 2*ownerTimeout+trialPollInterval))
			return
		}
	}
}

// Guards against runs that are refused for as long as one takes, since the grant came to a box whose
// request had left.
func TestAGrantThatNoRequestWaitsForIsReturned(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 9)
	group := newGroup("nobody", b.all())
	_, owners := group.ownersOf(innocent.Digest())
	var boxes []string
	for _, name := range b.names() {
		if name != owners[0].Name {
			boxes = append(boxes, name)
		}
	}
	late := boxes[0]
	may, asks := b.watches[late].RequestTrial(innocent.Digest(), func() []Box { return b.others(late) }, b.now)
	is.True(!may)
	b.now += waiterTimeout + 1
	b.deliver(late, asks)
	is.True(b.try(boxes[1], innocent.Digest(), 2*trialPollInterval))
	is.True(!b.try(boxes[2], innocent.Digest(), 2*trialPollInterval)) // a run is under way
}

// Guards against two runs at a time where an owner has granted one in place of the first owner.
func TestAnOwnerThatHasGrantedARunAsksForNone(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 9)
	group := newGroup("nobody", b.all())
	_, owners := group.ownersOf(innocent.Digest())
	b.drop = func(_, to string) bool { return to == owners[0].Name }
	for _, name := range b.names() {
		if name != owners[0].Name && name != owners[1].Name {
			is.True(b.try(name, innocent.Digest(), 2*ownerTimeout+trialPollInterval))
			break
		}
	}
	b.drop = func(_, _ string) bool { return false }
	is.True(!b.try(owners[1].Name, innocent.Digest(), time.Second))
}

// Guards against trials at two boxes that meet on one replica, which keeps the innocent request and the
// guilty one from being told apart.
func TestRequestsOnTrialHaveDifferentTargetsAtAllBoxes(t *testing.T) {
	is := is.New(t)
	const n = 9
	b := newCluster(t, n)
	var replicas []string
	for i := range n {
		replicas = append(replicas, fmt.Sprint("replica-", i))
		for _, w := range b.watches {
			w.ledger.Merge(recordOfCrashes(digestOf(i), quarantineThreshold, b.now), b.now)
		}
	}
	targets := make(map[string]bool)
	for i, name := range b.names() {
		targets[b.watches[name].TrialTarget(digestOf(i), replicas)] = true
	}
	is.Equal(len(targets), n)
	w := b.watches[b.names()[0]]
	target := w.TrialTarget(digestOf(0), replicas)
	w.BeginTrial(target, digestOf(1))
	is.Equal(w.TrialTarget(digestOf(0), replicas), "")
	is.Equal(w.TrialTarget(digestOf(0), nil), "")
}

func (b *cluster) all() []Box { return b.others("") }

// crashOnTrial crashes a replica under a request on trial at a box.
func (b *cluster) crashOnTrial(name, replica string, d Digest) {
	b.watches[name].BeginTrial(replica, d)
	b.crash(name, replica, d)
	b.watches[name].EndTrial(replica, d)
}

func TestACrashOnTrialQuarantinesItsRequestAndFreesTheOther(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 9)
	is.True(b.try("box-4", poisonous.Digest(), time.Second))
	b.crashOnTrial("box-4", "replica-4", poisonous.Digest())
	b.run(2 * settleWindow)
	is.Equal(b.countQuarantined(poisonous.Digest()), 9)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
	for _, w := range b.watches {
		is.True(!w.OnTrial(innocent.Digest(), b.now)) // the other request explains its crashes
	}
}

func TestARequestIsOnTrialWhileTheRecordOfAnotherIsIncomplete(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Merge(recordOfCrashes(innocent.Digest(), quarantineThreshold, testStart), testStart)
	late := recordOfCrashes(poisonous.Digest(), quarantineThreshold, testStart)
	late.Crashes = late.Crashes[:quarantineThreshold-1] // the latest crash has not been received yet
	l.Merge(late, testStart)
	v, _ := l.Verdict(innocent.Digest(), testStart+settleWindow)
	is.Equal(v, OnTrial)
	v, _ = l.Verdict(innocent.Digest(), testStart+settleWindow+1) // it is not expected any more
	is.Equal(v, Quarantined)
}

func TestTrialsReturnsIncarnationsWithOtherRunsOnTrial(t *testing.T) {
	is := is.New(t)
	b := newClusterOnTrial(t, 3)
	w := b.watches["box-0"]
	w.BeginTrial("replica-7", poisonous.Digest())
	is.Equal(w.IncarnationsOnTrial(innocent.Digest(), 0), []string{"replica-7"})
	is.Equal(w.IncarnationsOnTrial(innocent.Digest(), 1), nil)
	is.Equal(w.IncarnationsOnTrial(poisonous.Digest(), 0), nil) // its own run does not count
	w.EndTrial("replica-7", poisonous.Digest())
	is.Equal(w.IncarnationsOnTrial(innocent.Digest(), 0), nil)
}

func TestRunsOnTrialAreLimited(t *testing.T) {
	is := is.New(t)
	r := recordOfCrashes(poisonous.Digest(), quarantineThreshold, testStart)
	for n := range maxEarlyTrials {
		is.Equal(r.trialDelay(testStart), time.Duration(0))
		r.Crashes = append(r.Crashes, Crash{
			Incarnation: Incarnation(100 + n),
			At:          testStart,
			OnTrial:     true,
		})
	}
	is.Equal(r.trialDelay(testStart), retryDelay)
	r.Crashes[len(r.Crashes)-1].At = testStart + earlyTrialWindow // past the window no further run is made
	is.Equal(r.trialDelay(testStart+time.Hour), never.Abs())
}

func TestCrashesBeyondTheLimitAreNoChange(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	list := recordOfCrashes(poisonous.Digest(), maxCrashes+4, testStart)
	is.True(l.Merge(list, testStart))
	is.True(!l.Merge(list, testStart)) // or it would be gossiped forever
}

func TestTrialMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := Datagram{
			TrialMessage: trialMessage(rapid.IntRange(int(trialRequest), int(trialReturn)).Draw(t, "word")),
			Trial:        digestOf(rapid.IntRange(0, 5).Draw(t, "trial")),
			Records:      rapid.SliceOfN(rapid.Custom(drawRecord), 1, 4).Draw(t, "records"),
		}
		for i := range d.Records {
			d.Records[i].setTrialBits(rapid.Byte().Draw(t, "alone"))
		}
		got, err := Decode(d.Encode(testStart), testStart)
		is.NoErr(err)
		is.Equal(got, d)
	})
}
