package node

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	nearDelay = 2 * time.Millisecond  // of a datagram within a region
	farDelay  = 81 * time.Millisecond // of one between regions
	pressGap  = 10 * time.Millisecond // between two requests that a box has for the cold replica
	coldID    = "cold-replica"
	coldRate  = 1.5 // requests a second that it bears
	coldBound = 5   // whole requests in a second: coldRate x 1.5 + 3
	longCold  = time.Hour

	repeatRatio  = 0.2
	repeatExtra  = 168
	repeatWindow = 10 * time.Second
)

// machine is one place of an installation and the process in it, if any.
type machine struct {
	name   string
	region string
	domain string
	addr   string
	inc    int // of the process
	born   time.Duration
	state  *state // nil while no process runs
}

// send is one request to the cold replica of a region.
type send struct {
	at     time.Duration
	region string
	box    string
	age    time.Duration // of its process
	shared int           // boxes among which it shared the pace
}

// installation is boxes of several regions in one time line, with datagrams between
// them. Each region has a cold replica for which all its boxes have requests.
type installation struct {
	rnd      *rand.Rand
	clock    virtual.Clock
	now      time.Duration // of the clock
	machines []*machine
	byAddr   map[string]*machine
	seeds    []string
	cut      func(from, to *machine) bool
	lossy    float64 // share of datagrams that are lost
	sends    []send
	repeats  []time.Duration
	greedy   bool // boxes repeat requests, too
	extra    int  // repeats beyond the ratio; repeatExtra where it is 0
}

// newInstallation returns an installation of so many machines in each region, of
// which none runs. The first machine of each region is a seed.
func newInstallation(seed uint64, regions, perRegion int) *installation {
	in := &installation{
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[string]*machine),
		cut:    func(*machine, *machine) bool { return false },
	}
	for r := range regions {
		for n := range perRegion {
			m := in.add(fmt.Sprintf("region-%d", r), fmt.Sprintf("box-%d-%d", r, n), fmt.Sprintf("10.%d.0.%d:7000", r, n+1))
			if n == 0 {
				in.seeds = append(in.seeds, m.addr)
			}
		}
	}
	return in
}

func (in *installation) add(region, name, addr string) *machine {
	m := &machine{
		name:   name,
		region: region,
		domain: region,
		addr:   addr,
	}
	in.machines = append(in.machines, m)
	in.byAddr[addr] = m
	return m
}

// after has something done later.
func (in *installation) after(d time.Duration, act func()) {
	in.clock.After(d, func() {
		in.now = in.clock.Now()
		act()
	})
}

// run lets time pass.
func (in *installation) run(d time.Duration) {
	in.clock.RunUntil(in.clock.Now() + d)
	in.now = in.clock.Now()
}

// upTo returns a random time below d.
func (in *installation) upTo(d time.Duration) time.Duration {
	return time.Duration(in.rnd.Int64N(int64(d) + 1))
}

// start starts a process on m.
func (in *installation) start(m *machine) {
	m.inc = 1 + int(in.now/time.Millisecond)
	m.born = in.now
	m.state = newState(Settings{
		Box:    m.name,
		Region: m.region,
		Domain: m.domain,
		Seeds:  in.seeds,
		Bounds: Bounds{
			ColdOverage: 1.5,
			ColdSlack:   3,
			RetryRatio:  repeatRatio,
			RetryWindow: repeatWindow,
			RetryExtra:  cmp.Or(in.extra, repeatExtra),
		},
	}, m.status(), 0)
	m.state.applyUpdate(coldCatalog(m.region), 0)
	in.post(m, m.state.roster.TellEveryone(m.says(0), 0, true))
	alive := in.while(m)
	in.every(roster.Tick, alive, func() {
		out := m.state.roster.Tell(m.says(m.age(in)), m.age(in), in.rnd.IntN)
		m.state.view.OthersFor(m.state.roster.LoadsAge())
		in.post(m, out)
	})
	in.after(in.upTo(pressGap), func() { in.every(pressGap, alive, func() { in.press(m) }) })
}

// kill ends the process on m at once.
func (in *installation) kill(m *machine) { m.state = nil }

// restart kills the process on m, if any, and starts one after a while.
func (in *installation) restart(m *machine, down time.Duration) {
	in.kill(m)
	in.after(down, func() {
		if m.state == nil {
			in.start(m)
		}
	})
}

// while returns whether the present process of m still runs.
func (in *installation) while(m *machine) func() bool {
	state := m.state
	return func() bool { return m.state == state }
}

// every does something now and again and again while ok.
func (in *installation) every(gap time.Duration, ok func() bool, act func()) {
	if !ok() {
		return
	}
	act()
	in.after(gap, func() { in.every(gap, ok, act) })
}

// coldCatalog is what is published: a service, and a replica of it in the region that
// is cold for long.
func coldCatalog(region string) catalog.Update {
	p := policy(1)
	p.Services[0].Engine = nil
	p.Services[0].ColdPerSecond = coldRate
	list := replicas(region, 1)
	list[0].ID = coldID
	list[0].ColdLeft = catalog.Millis(longCold.Milliseconds())
	return catalog.Update{
		Revision: 1,
		Settled:  true,
		Snapshot: &catalog.Snapshot{
			Revision: 1,
			Policy:   p,
			Replicas: list,
		},
	}
}

func (m *machine) status() wire.BoxStatus {
	return wire.BoxStatus{
		Box:     m.name,
		Inc:     m.inc,
		Region:  m.region,
		Domain:  m.domain,
		Callers: m.addr,
		Peers:   m.addr,
		Forward: m.addr,
	}
}

// says returns what the box says of itself.
func (m *machine) says(age time.Duration) wire.BoxStatus { return m.state.fillStatus(m.status(), age) }

func (m *machine) age(in *installation) time.Duration { return in.now - m.born }

// post sends datagrams.
func (in *installation) post(from *machine, list []roster.Packet) {
	for _, p := range list {
		to := in.byAddr[p.Addr]
		if to == nil || in.cut(from, to) || in.rnd.Float64() < in.lossy {
			continue
		}
		delay := nearDelay
		if from.region != to.region {
			delay = farDelay
		}
		in.after(delay+in.upTo(nearDelay), func() { in.deliver(from, to, p.Buf) })
	}
}

// deliver has a box hear a datagram, as node.Node does.
func (in *installation) deliver(from, to *machine, buf []byte) {
	if to.state == nil {
		return
	}
	now := to.age(in)
	if roster.IsCompact(buf) {
		b, err := roster.DecodeCompact(buf)
		if err != nil {
			panic(err) // boxes send only what they can read
		}
		in.post(to, to.state.receiveCompact(b, from.addr, now).Replies)
		return
	}
	g, err := roster.Decode(buf)
	if err != nil {
		panic(err)
	}
	to.state.receive(g, now)
	if g.Ask && g.From.Peers != "" {
		in.post(to, to.state.roster.Answer(to.says(now), g.From.Peers, now))
	}
}

// press has a box send a request to the cold replica of its region, and repeat one,
// if it may.
func (in *installation) press(m *machine) {
	now := m.age(in)
	c := m.state.view.Pick(placement.Request{
		Service: service,
		Key:     fmt.Sprint(m.name, now),
	}, m.state.sharers(now), now)
	if c.Reason == placement.None {
		m.state.view.End(&c, placement.Answered, time.Millisecond, now)
		in.sends = append(in.sends, send{
			at:     in.now,
			region: m.region,
			box:    m.name,
			age:    now,
			shared: c.Sharers,
		})
	}
	if in.greedy && m.state.budget.Take(service, m.state.retryBoxes(now), now) {
		in.repeats = append(in.repeats, in.now)
	}
}

// flood returns the sends of a second in which the cold replica of a region got more
// than its bound, none if there is no such second.
func (in *installation) flood() []send {
	byRegion := make(map[string][]send)
	for _, s := range in.sends {
		list := append(byRegion[s.region], s)
		for list[0].at < s.at-time.Second {
			list = list[1:]
		}
		if len(list) > coldBound {
			return list
		}
		byRegion[s.region] = list
	}
	return nil
}

// keepsPace fails the test if a cold replica got too much.
func (in *installation) keepsPace(t testing.TB) {
	t.Helper()
	flood := in.flood()
	if flood == nil {
		return
	}
	for _, s := range flood {
		t.Logf("%v: %s, %v old, shares with %d boxes", s.at, s.box, s.age, s.shared)
	}
	t.Fatalf("a cold replica got %d requests in a second, the bound is %d", len(flood), coldBound)
}

// mostRepeats returns the most repeats in a window of the budget.
func (in *installation) mostRepeats() int {
	most, first := 0, 0
	for i, at := range in.repeats {
		for in.repeats[first] < at-repeatWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
