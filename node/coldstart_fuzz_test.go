package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	maxDisruptions   = 12               // of one run, including pauses
	rosterSettleTime = 16 * time.Second // after the last disruption, until all boxes have a complete roster; a box is isolated for up to 8 s
)

// outage is an installation whose boxes fail or are isolated at random.
type outage struct {
	*rapid.T
	in       *installation
	isolated map[string]bool // addresses of machines without a connection to others, but with one to replicas
	added    int
}

func newOutage(t *rapid.T) *outage {
	regions := rapid.IntRange(1, 3).Draw(t, "regions")
	perRegion := rapid.IntRange(1, 9).Draw(t, "boxes of a region")
	o := &outage{
		T:        t,
		in:       newInstallation(rapid.Uint64().Draw(t, "seed"), regions, perRegion),
		isolated: make(map[string]bool),
	}
	o.in.retrying = true
	o.in.lossRate = rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(t, "lost datagrams")
	o.in.cut = func(from, to *machine) bool { return o.isolated[from.addr] || o.isolated[to.addr] }
	o.in.startAll(400*time.Millisecond, rapid.SampledFrom([]time.Duration{0, 700 * time.Millisecond, 5 * time.Second}).Draw(t, "seeds later"))
	return o
}

func (o *outage) down() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{20, 400, 1500, 4000}).Draw(o.T, "down ms")) * time.Millisecond
}

func (o *outage) machine() *machine { return rapid.SampledFrom(o.in.machines).Draw(o.T, "machine") }

func (o *outage) pass() {
	o.in.run(time.Duration(rapid.IntRange(50, 3000).Draw(o.T, "ms")) * time.Millisecond)
}

func (o *outage) restart() { o.in.restart(o.machine(), o.down()) }

// restartRegion restarts all boxes of a region at about the same time.
func (o *outage) restartRegion() {
	region := o.machine().region
	down := o.down()
	for _, m := range o.in.machines {
		if m.region == region {
			o.in.restart(m, down+o.in.upTo(300*time.Millisecond))
		}
	}
}

func (o *outage) restartAll() {
	down := o.down()
	for _, m := range o.in.machines {
		o.in.restart(m, down+o.in.upTo(300*time.Millisecond))
	}
}

func (o *outage) add() {
	region := o.machine().region
	o.added++
	m := o.in.add(region, fmt.Sprint("added-", o.added), fmt.Sprintf("10.9.0.%d:7000", o.added))
	o.in.start(m)
}

// cutOff isolates a machine from all others, and sometimes restarts it.
func (o *outage) cutOff() {
	m := o.machine()
	o.isolated[m.addr] = true
	if rapid.Bool().Draw(o.T, "restarts") {
		o.in.restart(m, 20*time.Millisecond)
	}
	o.in.after(2*o.down(), func() { delete(o.isolated, m.addr) })
}

func TestNoOutageFloodsAColdReplicaOrBreaksTheBudgetOfRepeats(t *testing.T) {
	sends, complete := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		o := newOutage(t)
		actions := []func(){o.pass, o.pass, o.restart, o.restart, o.restartRegion, o.restartAll, o.add, o.cutOff}
		for range rapid.IntRange(1, maxDisruptions).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
		}
		o.in.run(rosterSettleTime)
		if flood := o.in.excessSends(); flood != nil {
			t.Fatalf("a cold replica got %d requests in a second: %v", len(flood), flood)
		}
		if n := o.in.maxRetries(); n > retryExtra {
			t.Fatalf("%d retries in a window, %d are allowed", n, retryExtra)
		}
		if slow := slices.IndexFunc(o.in.machines, o.rosterIncomplete); slow >= 0 {
			t.Fatalf("%s has an incomplete roster", o.in.machines[slow].name)
		}
		sends += len(o.in.sends)
		complete += len(o.in.machines)
	})
	t.Logf("%d requests to cold replicas, %d boxes with a complete roster", sends, complete)
	if sends < complete { // cold replicas must be used
		t.Fatal("hardly anything was sent")
	}
}

// rosterIncomplete reports whether the roster of a box lacks boxes of its region.
func (o *outage) rosterIncomplete(m *machine) bool {
	_, ok := m.state.roster.CompleteSince(m.age(o.in))
	return !ok
}
