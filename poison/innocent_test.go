package poison

// These tests guard against the quarantine of an innocent request that runs on the same
// replicas as a poison request.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var innocent = Content{
	Target: "/innocent",
}

// crashUnderBoth crashes a replica at a box under the poison request and an innocent one.
func (b *cluster) crashUnderBoth(name, replica string) {
	b.now += 2 * jointCrashWindow
	w := b.watches[name]
	w.Interrupted(replica, poisonous.Digest(), sentBefore, b.now)
	w.Interrupted(replica, innocent.Digest(), sentBefore, b.now)
	w.Crashed(replica, b.now)
	b.sendDue(name)
}

func TestOfTwoRequestsWithTheSameCrashesTheInnocentOneIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crashUnderBoth(fmt.Sprint("box-", i), fmt.Sprint("replica-", i))
	}
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
	is.True(b.watches["box-5"].Clear(innocent.Digest(), b.now)) // one run alone is enough
	b.sendDue("box-5")
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
	is.Equal(b.countQuarantined(poisonous.Digest()), 9) // no other request explains the crashes
}

// Guards against a crash that is counted at the time of its detection, past a complete response.
func TestAResponseBeforeTheCrashIsKnownClearsTheRequest(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 3)
	w := b.watches["box-0"]
	w.Interrupted("replica-0", innocent.Digest(), sentBefore, b.now)
	b.now += 43 * time.Millisecond
	is.True(w.Clear(innocent.Digest(), b.now)) // a complete response of the next replica
	b.sendDue("box-0")
	b.now += 9 * time.Millisecond
	is.Equal(w.Crashed("replica-0", b.now), 0)
	b.sendDue("box-0")
	b.now += 200 * time.Millisecond
	b.crash("box-1", "replica-1", innocent.Digest())
	b.crash("box-1", "replica-2", innocent.Digest())
	b.crash("box-2", "replica-3", innocent.Digest())
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
}
