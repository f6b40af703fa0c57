package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cluster is a set of tables that exchange datagrams without delay.
type cluster struct {
	*is.I
	tables      map[string]*Table
	seqs        map[string]int
	unreachable map[string]bool
	checkBytes  map[string]int // sent for checks by a box, with packet headers
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		I:           is.New(t),
		tables:      make(map[string]*Table),
		seqs:        make(map[string]int),
		unreachable: make(map[string]bool),
		checkBytes:  make(map[string]int),
	}
}

func (m *cluster) join(box, region string, seeds ...string) *Table {
	addrs := make([]string, 0, len(seeds))
	for _, s := range seeds {
		addrs = append(addrs, s+":1")
	}
	m.seqs[box] = 0
	m.tables[box] = New(status(box, region, 1, 0), WithSeeds(addrs))
	return m.tables[box]
}

// tick lets boxes send the datagrams of a tick, and delivers these and all answers.
func (m *cluster) tick(now time.Duration, boxes ...string) {
	for _, box := range boxes {
		m.seqs[box]++
		self := m.tables[box].self
		self.Seq = m.seqs[box]
		m.deliver(box, m.tables[box].Gossip(self, now, pickFirst), now)
	}
}

func (m *cluster) deliver(from string, list []Packet, now time.Duration) {
	for _, p := range list {
		to := p.Addr[:len(p.Addr)-len(":1")]
		tab := m.tables[to]
		if tab == nil || m.unreachable[to] || m.unreachable[from] {
			continue
		}
		if IsCompact(p.Buf) {
			b, err := DecodeCompact(p.Buf)
			m.NoErr(err)
			if b.Check != 0 {
				m.checkBytes[from] += len(p.Buf) + packetHeaderBytes
			}
			m.deliver(to, tab.ReceiveCompact(b, from+":1", now).Replies, now)
			continue
		}
		g, err := Decode(p.Buf)
		m.NoErr(err)
		tab.Receive(g.From, true, now)
		for _, o := range g.Others {
			tab.Receive(o, false, now)
		}
	}
}

func (m *cluster) complete(box string, now time.Duration) bool {
	_, ok := m.tables[box].CompleteSince(now)
	return ok
}

func TestABoxWithoutContactHasNoCompleteList(t *testing.T) {
	m := newCluster(t)
	m.join("a", "north", "seed")
	for now := time.Duration(0); now < time.Minute; now += Tick {
		m.tick(now, "a")
		m.True(!m.complete("a", now))
	}
}

func TestTheListIsCompleteOnceASeedAndAllOfTheRegionAgree(t *testing.T) {
	m := newCluster(t)
	m.join("seed", "south", "a")
	m.join("a", "north", "seed")
	m.join("b", "north", "seed")
	m.tick(0, "seed")
	m.tick(Tick, "a")
	m.True(!m.complete("a", Tick))
	for n := range 8 {
		m.tick(time.Duration(2+n)*Tick, "a", "b", "seed")
	}
	m.True(m.complete("a", 10*Tick))
	m.True(m.complete("b", 10*Tick))
	m.Equal(m.tables["a"].QuotaUsers("north", 10*Tick), []string{"b"})
}

func TestABoxOfTheRegionThatDoesNotAnswerIsWaitedForWhileItCountsAsAlive(t *testing.T) {
	m := newCluster(t)
	m.join("seed", "south", "a")
	m.join("a", "north", "seed")
	m.tables["a"].Receive(status("mute", "north", 1, 1), true, 0)
	now := time.Duration(0)
	for ; now <= aliveTimeout; now += Tick {
		m.tick(now, "a", "seed")
		m.True(!m.complete("a", now))
	}
	for range 4 {
		m.tick(now, "a", "seed")
		now += Tick
	}
	m.True(m.complete("a", now))
	m.Equal(m.tables["a"].QuotaUsers("north", now), []string{"mute"}) // it may still use its share
}

func TestABoxReceivesTheNamesOfDeadBoxesThatMayUseTheirShare(t *testing.T) {
	m := newCluster(t)
	const gone = 20 * time.Second
	m.join("seed", "south", "a")
	m.tables["seed"].Receive(status("gone", "north", 1, 1), true, 0)
	m.join("a", "north", "seed")
	now := gone
	for ; now < gone+8*Tick; now += Tick {
		m.tick(now, "seed", "a")
	}
	m.True(m.complete("a", now))
	m.True(!m.tables["a"].Alive("gone", now)) // it receives no work
	m.Equal(m.tables["a"].QuotaUsers("north", now), []string{"gone"})
	m.Equal(len(m.tables["a"].QuotaUsers("north", ShareTTL)), 0)
}

func TestWithoutASeedTheAgreementOfTheRegionSufficesAfterATimeout(t *testing.T) {
	m := newCluster(t)
	m.join("b", "north", "a")
	m.join("a", "north", "dead")
	for now := time.Duration(0); now < seedTimeout; now += Tick {
		m.tick(now, "b", "a")
		m.True(!m.complete("a", now))
	}
	m.tick(seedTimeout+Tick, "b", "a")
	m.True(m.complete("a", seedTimeout+Tick))
}

func TestABoxWithoutSeedsHasACompleteListAfterATimeout(t *testing.T) {
	m := newCluster(t)
	m.join("a", "north")
	m.True(!m.complete("a", aloneTimeout-1))
	m.True(m.complete("a", aloneTimeout))
}

func TestAStartInALargeRegionTakesFewBytesForAgreement(t *testing.T) {
	m := newCluster(t)
	const others = 98
	m.join("seed", "south", "a")
	now := time.Duration(0)
	var all []string
	for n := range others {
		all = append(all, fmt.Sprintf("box-%02d", n))
		m.join(all[n], "north", "seed")
	}
	for _, from := range append(all, "seed") {
		for _, to := range all {
			m.tables[to].Receive(status(from, m.tables[from].self.Region, 1, 1), true, now)
			m.tables["seed"].Receive(status(to, "north", 1, 1), true, now)
		}
		m.seqs[from] = 1
	}
	m.join("a", "north", "seed")
	took := time.Duration(0)
	for ; took < 20*time.Second && !m.complete("a", now); took += Tick {
		now += Tick
		m.tick(now, append(all, "seed", "a")...)
	}
	t.Logf("complete after %v with %d bytes", took, m.checkBytes["a"])
	m.True(took <= 10*time.Second)
	m.True(m.checkBytes["a"] <= 20_000)
	m.Equal(len(m.tables["a"].QuotaUsers("north", now)), others)
}

func TestABoxAsksAgainAfterAPartition(t *testing.T) {
	m := newCluster(t)
	m.join("seed", "south", "a")
	m.join("a", "north", "seed")
	now := time.Duration(0)
	run := func(d time.Duration, boxes ...string) {
		for until := now + d; now < until; now += Tick {
			m.tick(now, boxes...)
		}
	}
	run(2*time.Second, "seed", "a")
	m.True(m.complete("a", now))
	m.unreachable["a"] = true
	run(aliveTimeout+2*Tick, "seed", "a")
	m.True(!m.complete("a", now))
	m.unreachable["a"] = false
	m.join("new", "north", "seed")
	run(4*time.Second, "seed", "new", "a")
	m.True(m.complete("a", now))
	m.Equal(m.tables["a"].QuotaUsers("north", now), []string{"new"})
}

func TestAnAnswerToAnEarlierProcessIsIgnored(t *testing.T) {
	m := newCluster(t)
	a := m.join("a", "north", "seed")
	a.setSelf(status("a", "north", 2, 1))
	a.Receive(status("seed", "south", 1, 1), true, 0)
	b := heartbeat("seed", 2)
	b.AgreedCheck = IDOf("seed:1", 1) // to the check of the earlier process
	a.ReceiveCompact(b, "seed:1", 0)
	a.BeginTick(Tick)
	m.True(!m.complete("a", Tick))
	b.AgreedCheck = IDOf("seed:1", 2)
	a.ReceiveCompact(b, "seed:1", Tick)
	a.BeginTick(2 * Tick)
	m.True(m.complete("a", 2*Tick))
}

func TestACheckAndItsAnswersFitADatagram(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 1), WithSeeds([]string{"seed:1"}))
	receiveHeartbeats(tab, "north", maxNearEntries, 0)
	tab.setSelf(status("a", "north", 1, 1))
	question := tab.header()
	question.Check = 1
	question.Names = tab.ownNameIDs(0)
	is.True(len(question.encode()) <= datagramBytes)
	answer := tab.header()
	for n := range maxAbsent {
		answer.Gone = append(answer.Gone, GoneBox{
			Box: fmt.Sprintf("%0*d", maxNameBytes, n),
			Age: ShareTTL,
		})
	}
	is.True(len(answer.encode()) <= datagramBytes)
}
