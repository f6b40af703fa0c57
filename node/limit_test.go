package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/signal"
)

const (
	largeRegion  = 100                    // boxes
	limitSettled = 8 * time.Second        // after which all boxes list each other
	limitGrace   = 6 * time.Second        // from the first answer that names a limit until it binds
	limitWindow  = 4 * time.Second        // over which requests are counted
	limitOverage = 1.5                    // factor by which they may exceed the limit
	limitExtra   = 5                      // requests on top of that
	limitTold    = 500 * time.Millisecond // from a box's first answer with a limit until its requests count
	limitRun     = 40 * time.Second       // in which a replica names its limit
	maxLate      = 2 * time.Second        // by which a request may arrive late
	answerTime   = 150 * time.Millisecond
	limitRetry   = 50 * time.Millisecond // longest wait of a request for a send
)

// limitScene is an installation in which the replica of each region names a limit, and
// boxes have requests for it alone.
type limitScene struct {
	*installation
	rate      float64                        // 0 while no limit is named
	interval  func(m *machine) time.Duration // between two requests of a box; 0 for none
	lateShare float64                        // share of requests that arrive late
	arrivals  map[string][]time.Duration     // at the replicas, by region
	told      map[string]time.Duration       // first answer with a limit, by box and start of its process
	counted   map[string][]time.Duration     // arrivals from boxes that had such an answer limitTold before
	cutOff    map[string]bool                // addresses of boxes without a connection to others
	rates     []rateChange
}

type rateChange struct {
	at   time.Duration
	rate float64
}

func newLimitScene(seed uint64, perRegion int) *limitScene {
	s := &limitScene{
		installation: newInstallation(seed, 3, perRegion),
		interval:     func(*machine) time.Duration { return 100 * time.Millisecond },
		arrivals:     make(map[string][]time.Duration),
		cutOff:       make(map[string]bool),
		told:         make(map[string]time.Duration),
		counted:      make(map[string][]time.Duration),
	}
	s.idle = true
	s.catalogOf = func(region string) catalog.Update {
		u := coldCatalog(region)
		u.Snapshot.Policy.Services[0].ColdPerSecond = 0
		u.Snapshot.Replicas[0].ColdRemaining = 0
		u.Snapshot.Replicas[0].Slots = 10_000
		return u
	}
	s.onStart = func(m *machine) {
		alive := s.while(m)
		s.every(roster.Tick, alive, func() {
			if s.now >= m.pausedUntil {
				s.post(m, m.state.signalPackets(m.age(s.installation), s.rnd.IntN))
			}
		})
		if gap := s.interval(m); gap > 0 {
			s.after(s.upTo(gap), func() { s.every(gap, alive, func() { s.request(m, 0) }) })
		}
	}
	return s
}

// setRate makes all replicas name a limit; 0 ends it.
func (s *limitScene) setRate(rate float64) {
	s.rate = rate
	s.rates = append(s.rates, rateChange{
		at:   s.now,
		rate: rate,
	})
}

// request sends a request that has waited for some time.
func (s *limitScene) request(m *machine, waited time.Duration) {
	if m.state == nil || s.now < m.pausedUntil {
		return
	}
	now := m.age(s.installation)
	c := m.state.view.Pick(placement.Request{
		Service: service,
		Key:     fmt.Sprint(m.name, now),
	}, m.state.sharers(now), now)
	if c.Reason == placement.Limited {
		s.post(m, m.state.askLoans(c.Blocked, now))
		if waited+c.Wait <= limitRetry {
			s.after(c.Wait, func() { s.request(m, waited+c.Wait) })
		}
		return
	}
	if c.Reason != placement.None {
		return
	}
	s.send(m, c)
}

func (s *limitScene) send(m *machine, c placement.Choice) {
	alive := s.while(m)
	process := fmt.Sprint(m.name, m.born)
	sent := s.now
	written := m.age(s.installation)
	transit := time.Millisecond
	if s.rnd.Float64() < s.lateShare {
		transit += s.upTo(maxLate)
	}
	s.after(transit, func() {
		s.arrivals[m.region] = append(s.arrivals[m.region], s.now)
		if at, ok := s.told[process]; ok && sent >= at+limitTold {
			s.counted[m.region] = append(s.counted[m.region], s.now)
		}
		rate := s.rate
		s.after(answerTime, func() {
			if !alive() {
				return
			}
			s.answer(m, c, written, rate)
		})
	})
}

func (s *limitScene) answer(m *machine, c placement.Choice, written time.Duration, rate float64) {
	if s.now < m.pausedUntil {
		alive := s.while(m)
		s.after(m.pausedUntil-s.now, func() {
			if alive() {
				s.answer(m, c, written, rate)
			}
		})
		return
	}
	if process := fmt.Sprint(m.name, m.born); rate > 0 && s.told[process] == 0 {
		s.told[process] = s.now
	}
	now := m.age(s.installation)
	m.state.view.RecordFirstByte(&c, answerTime, now)
	m.state.recordSignals(&c, placement.Signals{
		Limit: placement.RateLimit{
			Named:     rate > 0,
			PerSecond: rate,
		},
	}, placement.Span{
		From: written,
		To:   now,
	})
	m.state.view.End(&c, placement.Answered, answerTime, now)
}

// highestRate returns the highest rate in a time, and false if at a moment none was named.
func (s *limitScene) highestRate(from, to time.Duration) (out float64, ok bool) {
	for i, r := range s.rates {
		if r.at > to || (i+1 < len(s.rates) && s.rates[i+1].at <= from) {
			continue
		}
		if r.rate == 0 {
			return 0, false
		}
		out = max(out, r.rate)
	}
	return out, len(s.rates) > 0 && s.rates[0].at <= from
}

// checkLimit fails the test if a replica got more than its limit allows from the boxes that it had told.
// A box may go by an earlier limit for limitGrace.
func (s *limitScene) checkLimit(t testing.TB) {
	t.Helper()
	for region, times := range s.counted {
		first := 0
		for i, at := range times {
			for times[first] < at-limitWindow {
				first++
			}
			rate, ok := s.highestRate(max(0, at-limitWindow-limitGrace), at)
			if bound := int(limitOverage*rate*limitWindow.Seconds() + limitExtra); ok && i-first+1 > bound {
				t.Fatalf("%v: %d requests in %v in %s, the limit of %g a second allows %d", at, i-first+1, limitWindow, region, rate, bound)
			}
		}
	}
}

// use returns which share of the limit of a region was used in a time.
func (s *limitScene) use(region string, from, to time.Duration) float64 {
	n := 0
	for _, at := range s.arrivals[region] {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (s.rate * (to - from).Seconds())
}

// settle starts all boxes and lets them list each other and learn the limit.
func (s *limitScene) settle(rate float64) {
	s.startAll(400*time.Millisecond, 300*time.Millisecond)
	s.run(limitSettled)
	s.setRate(rate)
	s.run(limitGrace)
}

// onlyFirst gives requests to the first box of each region alone.
func onlyFirst(gap time.Duration) func(m *machine) time.Duration {
	return func(m *machine) time.Duration {
		if m.name[len(m.name)-2:] == "-0" {
			return gap
		}
		return 0
	}
}

var (
	limitRates   = []float64{0.2, 1.2, 5, 50}
	limitRegions = []int{3, 20, largeRegion} // boxes of each of three regions
	largestRate  = 1.2                       // the only one in regions of 100 boxes, which take long
)

// Guards against boxes that together exceed the limit of a replica, or leave it mostly unused.
func TestBoxesWithoutAnOwnerKeepAndUseTheLimitOfAReplica(t *testing.T) {
	for _, perRegion := range limitRegions {
		for _, rate := range limitRates {
			if perRegion == largeRegion && rate != largestRate {
				continue
			}
			for name, interval := range map[string]func(gap time.Duration) func(*machine) time.Duration{
				"all boxes": func(gap time.Duration) func(*machine) time.Duration {
					return func(*machine) time.Duration { return gap * time.Duration(perRegion) }
				},
				"one box": onlyFirst,
			} {
				t.Run(fmt.Sprintf("%d boxes, %g a second, requests at %s", 3*perRegion, rate, name), func(t *testing.T) {
					t.Parallel()
					s := newLimitScene(1, perRegion)
					s.interval = interval(max(2*time.Millisecond, time.Duration(float64(time.Second)/rate/3))) // three times what is allowed
					s.settle(rate)
					from := s.now
					s.run(limitRun / time.Duration(1+perRegion/largeRegion))
					s.checkLimit(t)
					var shares []float64
					for region := range s.arrivals {
						shares = append(shares, s.use(region, from, s.now))
					}
					slices.Sort(shares)
					t.Logf("used %.2f of the limit", shares)
					if len(shares) == 0 || shares[0] == 0 {
						t.Fatal("the replica of a region gets nothing")
					}
				})
			}
		}
	}
}

const (
	limitSeeds       = 40 // of 9 boxes; a tenth of them of 60
	limitDisruptions = 8
)

// disrupt kills, suspends or cuts off boxes, or changes the limit.
func (s *limitScene) disrupt() {
	m := s.machines[s.rnd.IntN(len(s.machines))]
	d := s.upTo(4 * time.Second)
	switch s.rnd.IntN(6) {
	case 0:
		s.restart(m, d)
	case 1: // all of a region
		for _, o := range s.machines {
			if o.region == m.region {
				s.restart(o, d+s.upTo(300*time.Millisecond))
			}
		}
	case 2:
		m.pausedUntil = s.now + d
	case 3:
		s.cutOff[m.addr] = true
		s.after(2*d, func() { delete(s.cutOff, m.addr) })
	case 4:
		s.lossRate = 0.2
		s.after(d, func() { s.lossRate = 0 })
	case 5:
		s.setRate(limitRates[s.rnd.IntN(len(limitRates))])
	}
}

// Guards against boxes that exceed the limit of a replica while they are killed, suspended or cut off,
// requests arrive late and the limit changes.
func TestNoDisruptionMakesBoxesExceedTheLimitOfAReplica(t *testing.T) {
	for seed := range uint64(limitSeeds) {
		for _, perRegion := range []int{3, 20} {
			if perRegion > 3 && seed%10 != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d boxes, seed %d", 3*perRegion, seed), func(t *testing.T) {
				t.Parallel()
				s := newLimitScene(seed, perRegion)
				s.lateShare = 0.1
				s.cut = func(from, to *machine) bool { return s.cutOff[from.addr] || s.cutOff[to.addr] }
				if seed%2 == 1 {
					s.interval = onlyFirst(5 * time.Millisecond)
				}
				s.settle(limitRates[seed%uint64(len(limitRates))])
				for range limitDisruptions {
					s.disrupt()
					s.run(s.upTo(4 * time.Second))
				}
				s.run(limitGrace)
				s.checkLimit(t)
			})
		}
	}
}

// Guards against boxes that go by a limit that its replica no longer names.
func TestBoxesThatSendNothingLearnOfTheEndOfALimit(t *testing.T) {
	for _, perRegion := range []int{3, 20} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d boxes, seed %d", 3*perRegion, seed), func(t *testing.T) {
				t.Parallel()
				s := newLimitScene(seed, perRegion)
				s.interval = onlyFirst(20 * time.Millisecond)
				s.lateShare = 0.1
				s.settle(5)
				s.checkRecorded(t, true)
				s.setRate(0)
				s.run(limitGrace)
				s.checkRecorded(t, false)
			})
		}
	}
}

// Guards against observations on limited replicas that take more of a box's link than control may.
func TestObservationsOfReplicasTakeFewBytes(t *testing.T) {
	t.Parallel()
	const (
		perRegion    = 36
		limitedCount = 40
		maxBytes     = 1000 // a second sent by a box, with headers, while each limit changes each second
		maxCalmBytes = 250  // the same while none changes
		headerBytes  = 28
	)
	s := newLimitScene(1, perRegion)
	s.interval = func(*machine) time.Duration { return 0 }
	s.catalogOf = func(region string) catalog.Update {
		u := coldCatalog(region)
		u.Snapshot.Replicas = replicas(region, limitedCount)
		return u
	}
	sent := 0
	s.cut = func(*machine, *machine) bool { return false }
	s.onPost = func(buf []byte) {
		if signal.IsDatagram(buf) {
			sent += len(buf) + headerBytes
		}
	}
	s.startAll(400*time.Millisecond, 300*time.Millisecond)
	s.run(limitSettled)
	change := func(round int) {
		for _, m := range s.machines {
			for _, r := range m.state.view.Replicas() {
				m.state.recordSignalsOf(r.Incarnation(), placement.Signals{
					Limit: placement.RateLimit{
						Named:     true,
						PerSecond: 1 + float64(round),
					},
				}, placement.Span{
					From: m.age(s.installation),
					To:   m.age(s.installation),
				})
			}
		}
	}
	rate := func(seconds int, act func(round int)) float64 {
		sent = 0
		for round := range seconds {
			act(round)
			s.run(time.Second)
		}
		return float64(sent) / float64(seconds*len(s.machines))
	}
	busy := rate(20, change)
	s.run(2 * recentChange)
	calm := rate(20, func(int) {})
	t.Logf("%.0f bytes a second of a box while limits change, %.0f while they don't", busy, calm)
	if busy > maxBytes || calm > maxCalmBytes {
		t.Fatalf("%.0f and %.0f bytes a second, %d and %d are allowed", busy, calm, maxBytes, maxCalmBytes)
	}
}

// checkRecorded fails the test if a box records no limit of the replica of its region, or one, against want.
func (s *limitScene) checkRecorded(t testing.TB, want bool) {
	t.Helper()
	for _, m := range s.machines {
		for _, r := range m.state.view.Replicas() {
			if r.Limit().Named != want {
				t.Fatalf("%s records the limit %+v", m.name, r.Limit())
			}
		}
	}
}

// Guards against a lender that takes the request of a box that has started again for one of its
// earlier process, and lends the same send twice.
func TestABoxThatStartsAgainAsksForOtherLoans(t *testing.T) {
	is := is.New(t)
	nonce := func(inc int) uint32 {
		b := newLoanBox(inc)
		list := b.view.Limiter().Ask("a-0", []string{"box", "other"}, start)
		is.Equal(len(list), 1)
		return list[0].Nonce
	}
	is.True(nonce(1) != nonce(2))
}

// newLoanBox returns a process of a box that records a limited replica.
func newLoanBox(inc int) *testBox {
	b := &testBox{
		self: status("box", "a"),
	}
	b.self.Inc = inc
	b.state = newState(Settings{
		Box:    "box",
		Region: "a",
		Domain: "a",
	}, b.self, 0)
	b.publish(1, policy(1), replicas("a", 1))
	b.recordSignalsOf("a-0", placement.Signals{
		Limit: placement.RateLimit{
			Named:     true,
			PerSecond: 5,
		},
	}, placement.Span{
		From: start,
		To:   start,
	})
	return b
}
