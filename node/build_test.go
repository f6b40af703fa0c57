package node

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/ingress"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	start   = time.Minute // of the tests' clock; the boxes have started long before
	host    = "shop.example"
	service = "engine"
	prompt  = 4000 // tokens of a usual prompt
	shared  = 3000 // of them in a shared part
)

// regions are the regions of the tests; each is a failure domain of its name.
var regions = []string{"a", "b", "c", "d"}

// testBox is the state of a box and what it says of itself.
type testBox struct {
	*state
	self wire.BoxStatus
}

// newBox returns a box of a region that knows a policy, and n replicas in its
// region.
func newBox(name, region string, n int) *testBox {
	b := &testBox{
		self: status(name, region),
	}
	settings := Settings{
		Box:     name,
		Region:  region,
		Domain:  region,
		Callers: b.self.Callers,
	}
	b.state = newState(settings, b.self, 0)
	b.publish(1, policy(1), replicas(region, n))
	return b
}

// publish has the box read all that is published at a revision.
func (b *testBox) publish(revision int64, p *catalog.Policy, all []catalog.Replica) []placement.Belief {
	return b.applyUpdate(catalog.Update{
		Revision: revision,
		Settled:  true,
		Snapshot: &catalog.Snapshot{
			Revision: revision,
			Policy:   p,
			Replicas: all,
		},
	}, start)
}

// says returns what the box tells others at now.
func (b *testBox) says(now time.Duration) wire.Gossip {
	return wire.Gossip{
		From: b.fillStatus(b.self, now),
	}
}

func policy(version int, homes ...string) *catalog.Policy {
	return &catalog.Policy{
		Version: version,
		Routes:  []catalog.Route{*route(homes...)},
		Services: []catalog.Service{{
			Name: service,
			Engine: &catalog.Engine{
				Slots:  8,
				Memory: 100_000,
			},
		}},
	}
}

// route returns a route whose data may enter some regions, or all for none.
func route(homes ...string) *catalog.Route {
	return &catalog.Route{
		Name:     "chat",
		Host:     host,
		Prefix:   "/chat/",
		Kind:     catalog.Stream,
		Attempts: 2,
		Timeout:  6000,
		Goal:     1000,
		Homes:    homes,
		Shares: []catalog.Share{{
			Service: service,
			Weight:  1,
		}},
	}
}

func replicas(region string, n int) []catalog.Replica {
	out := make([]catalog.Replica, 0, n)
	for i := range n {
		out = append(out, catalog.Replica{
			ID:       fmt.Sprintf("%s-%d", region, i),
			Service:  service,
			Addr:     fmt.Sprintf("127.0.0.1:%d", 1+i),
			Domain:   region,
			Region:   region,
			Slots:    8,
			Revision: 1,
		})
	}
	return out
}

// status returns what a box says of itself that never changes.
func status(name, region string) wire.BoxStatus {
	return wire.BoxStatus{
		Box:     name,
		Inc:     1,
		Region:  region,
		Domain:  region,
		Callers: "callers of " + name,
		Forward: "forward of " + name,
	}
}

// room returns what a box tells of its region: how many replicas are usable and
// how long a request waits there.
func room(usable int, wait time.Duration) wire.ServiceRoom {
	return wire.ServiceRoom{
		Service: service,
		Usable:  usable,
		WaitMs:  int(wait.Milliseconds()),
	}
}

// tells has the box hear another one directly at now.
func (b *testBox) tells(s wire.BoxStatus, now time.Duration, rooms ...wire.ServiceRoom) {
	s.Seq = int(now / time.Millisecond)
	s.Rooms = rooms
	b.receive(wire.Gossip{
		From: s,
	}, now)
}

// ask returns a question for the target of a request without a prompt.
func ask(r *catalog.Route) ingress.Ask {
	return ingress.Ask{
		Route: r,
		Left:  r.Timeout.Duration(),
		Goal:  r.Goal.Duration(),
		Request: placement.Request{
			Service: service,
			Key:     "request",
		},
	}
}

// askShared returns a question for a request whose prompt has a shared part.
func askShared(r *catalog.Route, part string) ingress.Ask {
	q := ask(r)
	q.Request.Prompt = prompt
	q.Request.Parts = []placement.Part{{
		ID:     part,
		Tokens: shared,
	}}
	return q
}

// lowest draws the number at which a request goes away for the least gain.
func lowest(int) int { return 0 }
