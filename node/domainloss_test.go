package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

const (
	domainNamed = 1500 * time.Millisecond // after it was lost a failure domain is named no more: the age of its last signs of life, and a look
	lookAtNames = 50 * time.Millisecond
)

// twoDomains is an installation whose regions have two failure domains each.
func twoDomains(perRegion int) *installation {
	in := newInstallation(1, simRegions, perRegion)
	for i, m := range in.machines {
		m.domain = fmt.Sprint(m.region, "-", i%2)
	}
	in.startAll(400*time.Millisecond, 700*time.Millisecond)
	in.run(8 * time.Second)
	return in
}

// named returns how many boxes of a failure domain the others of its region name to
// callers, and of how many answers.
func (in *installation) named(region, domain string) (named, answers int) {
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
		m.state.chooseTaking(wire.ServingStateServing, now)
		for _, addr := range m.state.which(host, region, wire.ServingStateServing, now) {
			if addrs[addr] {
				named++
			}
		}
	}
	return named, answers
}

// A whole failure domain went, half of the boxes before a region. Callers were named its
// boxes for up to 6 s more, the time after which one that fell silent counts as lost among
// many boxes, and half of their connections failed: 5.5 s went by until all were served
// again with 300 boxes, and none with 100.
func TestALostFailureDomainIsNamedToCallersForNoLongerThanStated(t *testing.T) {
	for _, perRegion := range []int{7, 33} {
		in := twoDomains(perRegion)
		lost := in.machines[1]
		region, domain := lost.region, lost.domain
		if n, _ := in.named(region, domain); n == 0 {
			t.Fatalf("%d boxes a region: the domain isn't named while it lives", perRegion)
		}
		for _, m := range in.machines {
			if m.domain == domain {
				in.kill(m)
			}
		}
		at := in.now
		for n := 1; n > 0; {
			in.run(lookAtNames)
			n, _ = in.named(region, domain)
			if in.now-at > domainNamed {
				t.Fatalf("%d boxes a region: %d times a lost box is named %v later", perRegion, n, in.now-at)
			}
		}
		t.Logf("%d boxes a region: named for %v", perRegion, in.now-at)
	}
}

// A domain that lives stays named beside datagrams that are lost.
func TestALivingFailureDomainIsNamedBesideLostDatagrams(t *testing.T) {
	in := twoDomains(33)
	in.lossy = 0.3
	one := in.machines[1]
	for range 100 {
		in.run(lookAtNames)
		n, answers := in.named(one.region, one.domain)
		if n < answers {
			t.Fatalf("%d times a box of the domain is named in %d answers", n, answers)
		}
	}
}

// A box that hears nobody is cut off itself, and names those whom it knows as before.
func TestABoxThatIsCutOffTakesNoFailureDomainForLost(t *testing.T) {
	in := twoDomains(7)
	alone := in.machines[0]
	before := names(in, alone)
	in.cut = func(from, to *machine) bool { return from == alone || to == alone }
	in.run(2 * time.Second)
	if after := names(in, alone); after != before {
		t.Fatalf("it names %s, and %s before", after, before)
	}
}

// names returns whom a box names to callers of its region.
func names(in *installation, m *machine) string {
	list := m.state.which(host, m.region, wire.ServingStateServing, m.age(in))
	return strings.Join(list, " ")
}
