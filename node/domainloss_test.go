package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

const (
	maxNamedAfterLoss     = 1500 * time.Millisecond // limit, after the loss of a failure domain, of directory answers with its boxes
	directoryPollInterval = 50 * time.Millisecond
)

// twoDomains returns an installation whose regions have two failure domains each.
func twoDomains(perRegion int) *installation {
	in := newInstallation(1, simRegions, perRegion)
	for i, m := range in.machines {
		m.domain = fmt.Sprint(m.region, "-", i%2)
	}
	in.startAll(400*time.Millisecond, 700*time.Millisecond)
	in.run(8 * time.Second)
	return in
}

// countNamed returns how often the directory answers of a region's other boxes contain a box of a
// failure domain, and the number of answers.
func (in *installation) countNamed(region, domain string) (named, answers int) {
	addrs := make(map[string]bool)
	for _, m := range in.machines {
		addrs[m.addr] = m.domain == domain
	}
	for _, m := range in.machines {
		if m.region != region || m.domain == domain || m.state == nil {
			continue
		}
		answers++
		now := m.age(in)
		m.state.chooseActive(wire.ServingStateServing, now)
		for _, addr := range m.state.directoryAddrs(host, region, wire.ServingStateServing, now) {
			if addrs[addr] {
				named++
			}
		}
	}
	return named, answers
}

// Guards against directory answers with boxes of a lost failure domain for as long as the timeout
// of a single box.
func TestALostFailureDomainIsNamedToCallersForNoLongerThanStated(t *testing.T) {
	for _, perRegion := range []int{7, 33} {
		in := twoDomains(perRegion)
		lost := in.machines[1]
		region, domain := lost.region, lost.domain
		if n, _ := in.countNamed(region, domain); n == 0 {
			t.Fatalf("%d boxes a region: the domain isn't named while it lives", perRegion)
		}
		for _, m := range in.machines {
			if m.domain == domain {
				in.kill(m)
			}
		}
		at := in.now
		for n := 1; n > 0; {
			in.run(directoryPollInterval)
			n, _ = in.countNamed(region, domain)
			if in.now-at > maxNamedAfterLoss {
				t.Fatalf("%d boxes a region: %d times a lost box is named %v later", perRegion, n, in.now-at)
			}
		}
		t.Logf("%d boxes a region: named for %v", perRegion, in.now-at)
	}
}

// Guards against the loss of datagrams removing a living failure domain from the directory.
func TestALivingFailureDomainIsNamedBesideLostDatagrams(t *testing.T) {
	in := twoDomains(33)
	in.lossRate = 0.3
	one := in.machines[1]
	for range 100 {
		in.run(directoryPollInterval)
		n, answers := in.countNamed(one.region, one.domain)
		if n < answers {
			t.Fatalf("%d times a box of the domain is named in %d answers", n, answers)
		}
	}
}

// Guards against a box that is cut off and considers all failure domains lost.
func TestABoxThatIsCutOffConsidersNoFailureDomainLost(t *testing.T) {
	in := twoDomains(7)
	alone := in.machines[0]
	before := names(in, alone)
	in.cut = func(from, to *machine) bool { return from == alone || to == alone }
	in.run(2 * time.Second)
	if after := names(in, alone); after != before {
		t.Fatalf("it names %s, and %s before", after, before)
	}
}

// names returns the directory answer of a box for its region.
func names(in *installation, m *machine) string {
	list := m.state.directoryAddrs(host, m.region, wire.ServingStateServing, m.age(in))
	return strings.Join(list, " ")
}
