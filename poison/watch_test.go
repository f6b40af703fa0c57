package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestThreeCrashesAtThreeBoxesQuarantineARequestAtAllBoxes(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		is.Equal(b.countQuarantined(poisonous.Digest()), 0)
		b.crash(fmt.Sprint("box-", i), fmt.Sprint("replica-", i), poisonous.Digest())
	}
	is.Equal(b.countQuarantined(poisonous.Digest()), 9)
}

func TestACrashThatThreeBoxesDetectCountsOnce(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crash(fmt.Sprint("box-", i), "replica", poisonous.Digest())
	}
	b.run(time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 0)
}

func TestAnInterruptionByAReplicaThatSurvivesDoesNotCount(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	is.True(!w.Interrupted("replica", poisonous.Digest(), sentBefore, testStart))
	is.Equal(w.Unconfirmed(), []string{"replica"})
	w.Survived("replica", testStart-time.Second) // sent before the interruption
	is.Equal(w.Unconfirmed(), []string{"replica"})
	w.Survived("replica", testStart+time.Second)
	is.Equal(w.Unconfirmed(), nil)
	is.Equal(w.Crashed("replica", testStart+2*time.Second), 0)
}

func TestAnInterruptionAfterTheCrashIsKnownCounts(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	w.Interrupted("replica", digestOf(1), sentBefore, testStart)
	is.Equal(w.Crashed("replica", testStart), 1)
	is.Equal(w.Crashed("replica", testStart), 0)
	is.True(w.Interrupted("replica", poisonous.Digest(), sentBefore, testStart))
	is.Equal(len(w.ledger.Get(poisonous.Digest()).Crashes), 1)
}

func TestOfAJointCrashOnlyARequestThatSeveralReplicasRanMayBeTheCause(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	name := func(i int) string { return fmt.Sprint("replica-", i) }
	for i := range minJointCrashes {
		at := testStart + time.Duration(i)*jointCrashWindow/minJointCrashes
		w.Interrupted(name(i), digestOf(i), sentBefore, at)
		w.Interrupted(name(i), poisonous.Digest(), sentBefore, at)
	}
	for i := range minJointCrashes {
		is.Equal(w.Crashed(name(i), testStart+JointCrashDelay), 1)
		is.True(!w.Interrupted(name(i), digestOf(10+i), sentBefore, testStart+JointCrashDelay)) // nor a request that is interrupted later
	}
	_, quarantined := w.Quarantined(poisonous.Digest(), testStart+JointCrashDelay)
	is.True(quarantined)
	w.Interrupted("alone", digestOf(20), sentBefore, testStart+time.Second)
	w.Interrupted("beside", digestOf(21), sentBefore, testStart+time.Second)
	is.Equal(w.Crashed("alone", testStart+time.Second+JointCrashDelay), 1)
	is.Equal(w.Crashed("beside", testStart+time.Second+JointCrashDelay), 1)
}

// Guards against counting a retry that is sent on an idle connection to a replica that has
// just crashed.
func TestARequestSentAfterTheCrashIsNotTheCause(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	w.Interrupted("replica", poisonous.Digest(), sentBefore, testStart)
	w.Interrupted("replica", digestOf(1), testStart+time.Millisecond, testStart+2*time.Millisecond)
	is.Equal(w.Crashed("replica", testStart+JointCrashDelay), 1)
	is.True(!w.Interrupted("replica", digestOf(2), testStart+time.Minute, testStart+time.Minute))
	w.Interrupted("lives", digestOf(1), sentBefore, testStart) // the only request interrupted before
	w.Interrupted("lives", poisonous.Digest(), testStart+dialInterval, testStart+2*dialInterval)
	is.Equal(w.Crashed("lives", testStart+2*dialInterval+JointCrashDelay), 2)
}

func TestInterruptionsExpire(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	w.Interrupted("replica", poisonous.Digest(), sentBefore, testStart)
	w.Expire(testStart + interruptionTTL + 1)
	is.Equal(w.Crashed("replica", testStart+interruptionTTL+1), 0)
}

func TestABoxThatJoinsReceivesTheQuarantineWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crash("box-0", fmt.Sprint("replica-", i), poisonous.Digest())
	}
	b.run(time.Minute)
	b.join("young")
	b.run(2 * time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 10)
}

func TestComparisonsRepairLostDatagrams(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	b.drop = func(string, string) bool { return true }
	for i := range quarantineThreshold {
		b.crash("box-0", fmt.Sprint("replica-", i), poisonous.Digest())
	}
	b.run(time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 1)
	b.drop = func(string, string) bool { return false }
	b.run(5 * time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 9)
}

func TestCrashesSurviveTheLossOfOwners(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	b.crash("box-0", "replica-0", poisonous.Digest())
	b.crash("box-1", "replica-1", poisonous.Digest())
	for _, name := range b.names() {
		if b.watches[name].ledger.Get(poisonous.Digest()) != nil && name != "box-2" {
			delete(b.watches, name) // those that detected a crash, and the owners but perhaps one
		}
		if len(b.watches) == 2 {
			break
		}
	}
	b.crash(b.names()[0], "replica-2", poisonous.Digest())
	b.run(5 * time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), len(b.watches))
}

func TestACompleteResponseAtAnyBoxClearsARequestAtAllBoxes(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crash("box-0", fmt.Sprint("replica-", i), poisonous.Digest())
	}
	b.now += time.Second
	is.True(b.watches["box-5"].Clear(poisonous.Digest(), b.now))
	b.sendDue("box-5")
	b.run(5 * time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 0)
	b.crash("box-1", "replica-9", poisonous.Digest()) // counts from zero again
	b.run(time.Second)
	is.Equal(b.countQuarantined(poisonous.Digest()), 0)
}

func TestOneOwnerRetriesARequestThatWasServedBefore(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crash("box-0", fmt.Sprint("replica-", i), poisonous.Digest())
	}
	tries := func() (n int) {
		for _, name := range b.names() {
			if b.watches[name].ShouldRetry(poisonous.Digest(), b.others(name), b.now) {
				n++
			}
		}
		return n
	}
	is.Equal(tries(), 0)
	b.now += retryDelay
	is.Equal(tries(), 1)
	is.Equal(tries(), 0) // while the retry is under way
	b.crash("box-0", "replica-4", poisonous.Digest())
	b.now += 2 * retryDelay
	is.Equal(tries(), 0) // the delay grows with each retry
	b.now += retryFactor * retryDelay
	is.Equal(tries(), 1)
}

func TestChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	for i := range quarantineThreshold {
		now := testStart + time.Duration(i-quarantineThreshold+1)*time.Second // the last at start
		w.Interrupted(fmt.Sprint("replica-", i), poisonous.Digest(), sentBefore, now)
		w.Crashed(fmt.Sprint("replica-", i), now)
	}
	list := w.Changes(testStart)
	is.Equal(len(list), 1)
	is.True(list[0].Quarantined)
	is.Equal(list[0].Left, quarantineTTL)
	is.Equal(len(w.Changes(testStart)), 0)
	w.Clear(poisonous.Digest(), testStart+time.Second)
	list = w.Changes(testStart + time.Second)
	is.Equal(len(list), 1)
	is.True(list[0].Cleared)
}

func TestAFloodOfInterruptedRequestsEvictsNoQuarantinedOne(t *testing.T) {
	is := is.New(t)
	w := NewDetector("box")
	w.ledger.Merge(recordOfCrashes(poisonous.Digest(), quarantineThreshold, testStart), testStart)
	for i := range 100_000 {
		w.ledger.AddCrash(digestOf(i), Incarnation(i), testStart+time.Duration(i)*time.Millisecond/2)
		is.True(w.ledger.Len() <= maxRecords)
	}
	_, quarantined := w.Quarantined(poisonous.Digest(), testStart+time.Minute)
	is.True(quarantined)
}
