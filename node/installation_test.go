package node

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/origin"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/signal"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	nearDelay       = 2 * time.Millisecond  // of a datagram within a region
	farDelay        = 81 * time.Millisecond // of one between regions
	requestInterval = 10 * time.Millisecond // between two requests of a box for the cold replica
	coldID          = "cold-replica"
	coldRate        = 1.5 // requests per second
	coldBound       = 5   // requests in a second: coldRate x 1.5 + 3, rounded
	longCold        = time.Hour

	retryRatio  = 0.2
	retryExtra  = 168
	retryWindow = 10 * time.Second
)

// machine is a host of an installation and its box, if one runs.
type machine struct {
	name   string
	region string
	domain string
	addr   string
	inc    int           // of the process
	skew   time.Duration // of its time of day, by which processes are numbered
	born   time.Duration
	state  *state // nil while no process runs

	pausedUntil time.Duration // it stands still until then
}

// send is one request to the cold replica of a region.
type send struct {
	at     time.Duration
	region string
	box    string
	age    time.Duration // of its process
	shared int           // boxes that share the rate limit
}

// installation simulates boxes of several regions and their datagrams in virtual time. All
// boxes of a region have requests for its cold replica.
type installation struct {
	rnd      *rand.Rand
	clock    virtual.Clock
	now      time.Duration // of the clock
	machines []*machine
	byAddr   map[string]*machine
	seeds    []string
	cut      func(from, to *machine) bool
	lossRate float64 // share of datagrams that are lost
	sends    []send
	retries  []time.Duration
	retrying bool // boxes also retry requests
	idle     bool // boxes have no requests
	extra    int  // retries beyond the ratio; 0 for retryExtra

	catalogOf func(region string) catalog.Update
	onStart   func(m *machine) // called when a box has started
	onPost    func(buf []byte) // called for each datagram
}

// newInstallation returns an installation without running boxes. The first machine of each
// region is a seed.
func newInstallation(seed uint64, regions, perRegion int) *installation {
	return newUnevenInstallation(seed, slices.Repeat([]int{perRegion}, regions))
}

// newUnevenInstallation is newInstallation for regions of these sizes.
func newUnevenInstallation(seed uint64, sizes []int) *installation {
	in := &installation{
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[string]*machine),
		cut:    func(*machine, *machine) bool { return false },

		catalogOf: coldCatalog,
		onStart:   func(*machine) {},
		onPost:    func([]byte) {},
	}
	for r, size := range sizes {
		for n := range size {
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

func (in *installation) after(d time.Duration, act func()) {
	in.clock.After(d, func() {
		in.now = in.clock.Now()
		act()
	})
}

func (in *installation) run(d time.Duration) {
	in.clock.RunUntil(in.clock.Now() + d)
	in.now = in.clock.Now()
}

// upTo returns a random time in [0, d].
func (in *installation) upTo(d time.Duration) time.Duration {
	return time.Duration(in.rnd.Int64N(int64(d) + 1))
}

func (in *installation) start(m *machine) {
	m.inc = 1 + int((in.now+m.skew)/time.Millisecond)
	m.born = in.now
	m.state = newState(Settings{
		Box:    m.name,
		Region: m.region,
		Domain: m.domain,
		Seeds:  in.seeds,
		Bounds: Bounds{
			ColdRateFactor: 1.5,
			ColdRateExtra:  3,
			RetryRatio:     retryRatio,
			RetryWindow:    retryWindow,
			RetryExtra:     cmp.Or(in.extra, retryExtra),
		},
	}, m.status(), 0)
	m.state.applyUpdate(in.catalogOf(m.region), 0)
	in.post(m, m.state.roster.Broadcast(m.fullStatus(0), 0, true))
	alive := in.while(m)
	in.every(roster.Tick, alive, func() {
		if in.now < m.pausedUntil {
			return
		}
		out := m.state.roster.Gossip(m.fullStatus(m.age(in)), m.age(in), in.rnd.IntN)
		m.state.view.SetPeerLoadTTL(m.state.roster.LoadsTTL())
		in.post(m, out)
	})
	in.onStart(m)
	if in.idle {
		return
	}
	in.after(in.upTo(requestInterval), func() { in.every(requestInterval, alive, func() { in.sendCold(m) }) })
}

func (in *installation) kill(m *machine) { m.state = nil }

// restart kills the box on m, if any, and starts another one after down.
func (in *installation) restart(m *machine, down time.Duration) {
	in.kill(m)
	in.after(down, func() {
		if m.state == nil {
			in.start(m)
		}
	})
}

// while returns a function that reports whether the current box of m still runs.
func (in *installation) while(m *machine) func() bool {
	state := m.state
	return func() bool { return m.state == state }
}

// every calls act now and after each gap while ok.
func (in *installation) every(gap time.Duration, ok func() bool, act func()) {
	if !ok() {
		return
	}
	act()
	in.after(gap, func() { in.every(gap, ok, act) })
}

// coldCatalog returns a catalog of one service with a cold replica in a region.
func coldCatalog(region string) catalog.Update {
	p := policy(1)
	p.Services[0].Engine = nil
	p.Services[0].ColdPerSecond = coldRate
	list := replicas(region, 1)
	list[0].ID = coldID
	list[0].ColdRemaining = catalog.Millis(longCold.Milliseconds())
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

func (m *machine) fullStatus(age time.Duration) wire.BoxStatus {
	out := m.state.fillStatus(m.status(), age)
	out.UpMs = int(age.Milliseconds())
	return out
}

func (m *machine) age(in *installation) time.Duration { return in.now - m.born }

func (in *installation) post(from *machine, list []roster.Packet) {
	for _, p := range list {
		in.onPost(p.Buf)
		to := in.byAddr[p.Addr]
		if to == nil || in.cut(from, to) || in.rnd.Float64() < in.lossRate {
			continue
		}
		delay := nearDelay
		if from.region != to.region {
			delay = farDelay
		}
		in.after(delay+in.upTo(nearDelay), func() { in.deliver(from, to, p.Buf) })
	}
}

// deliver makes a box receive a datagram, as Node does.
func (in *installation) deliver(from, to *machine, buf []byte) {
	if to.state == nil {
		return
	}
	if in.now < to.pausedUntil {
		in.after(to.pausedUntil-in.now, func() { in.deliver(from, to, buf) })
		return
	}
	now := to.age(in)
	if signal.IsDatagram(buf) {
		d, err := signal.Decode(buf)
		if err != nil {
			panic(err) // boxes send only what they can read
		}
		replies, _ := to.state.receiveSignals(d, from.addr, now)
		in.post(to, replies)
		return
	}
	if buf[0] == origin.DatagramType {
		d, err := origin.Decode(buf)
		if err != nil {
			panic(err) // as above
		}
		if answer := to.state.receiveBuild(d, from.addr, copyTimes{}, now); answer != nil {
			in.post(to, []roster.Packet{{Addr: from.addr, Buf: answer.Encode()}})
		}
		return
	}
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
	if to.state.receive(g, now) {
		in.post(to, to.state.roster.Reply(to.fullStatus(now), g.From, now))
	}
}

// sendCold sends a request to the cold replica of the region, and a retry, where the limits
// allow them.
func (in *installation) sendCold(m *machine) {
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
			shared: c.SharingBoxes,
		})
	}
	if in.retrying && m.state.budget.Take(service, m.state.retryBoxes(now), now) {
		in.retries = append(in.retries, in.now)
	}
}

// excessSends returns the requests of a second in which a cold replica received more than its
// bound; none without such a second.
func (in *installation) excessSends() []send {
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

func (in *installation) checkColdRate(t testing.TB) {
	t.Helper()
	flood := in.excessSends()
	if flood == nil {
		return
	}
	for _, s := range flood {
		t.Logf("%v: %s, %v old, shares with %d boxes", s.at, s.box, s.age, s.shared)
	}
	t.Fatalf("a cold replica received %d requests in a second, the bound is %d", len(flood), coldBound)
}

// maxRetries returns the maximum number of retries in a window of the budget.
func (in *installation) maxRetries() int {
	most, first := 0, 0
	for i, at := range in.retries {
		for in.retries[first] < at-retryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
