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
	start   = time.Minute // time of the tests; boxes started long before
	host    = "shop.example"
	service = "engine"
	prompt  = 4000 // tokens of a typical prompt
	shared  = 3000 // of them in a shared segment
)

// regions are the regions of the tests; each is a failure domain of its name.
var regions = []string{"a", "b", "c", "d"}

// testBox is the state of a box and its status.
type testBox struct {
	*state
	self wire.BoxStatus
}

// newBox returns a box with a policy and n replicas in its region.
func newBox(name, region string, n int) *testBox {
	b := &testBox{
		self: status(name, region),
	}
	settings := Settings{
		Box:        name,
		Region:     region,
		Domain:     region,
		CallerAddr: b.self.Callers,
	}
	b.state = newState(settings, b.self, 0)
	b.publish(1, policy(1), replicas(region, n))
	return b
}

func (b *testBox) publish(revision int64, p *catalog.Policy, all []catalog.Replica) []placement.Change {
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

func (b *testBox) message(now time.Duration) wire.Gossip {
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

// route returns a route whose data may enter the regions homes, or all regions without any.
func route(homes ...string) *catalog.Route {
	return &catalog.Route{
		Name:          "chat",
		Host:          host,
		Prefix:        "/chat/",
		Kind:          catalog.Stream,
		Attempts:      2,
		Timeout:       6000,
		LatencyTarget: 1000,
		Homes:         homes,
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

// status returns the constant part of a box's status.
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

// serviceCapacity returns the capacity of a region: its usable replicas and the wait of a request.
func serviceCapacity(usable int, wait time.Duration) wire.ServiceRoom {
	return wire.ServiceRoom{
		Service: service,
		Usable:  usable,
		WaitMs:  int(wait.Milliseconds()),
	}
}

// receiveStatus makes the box receive the status of another one at now.
func (b *testBox) receiveStatus(s wire.BoxStatus, now time.Duration, rooms ...wire.ServiceRoom) {
	s.Seq = int(now / time.Millisecond)
	s.Rooms = rooms
	b.receive(wire.Gossip{
		From: s,
	}, now)
}

// ask returns the placement query of a request without a prompt.
func ask(r *catalog.Route) ingress.TargetQuery {
	return ingress.TargetQuery{
		Route:         r,
		TimeLeft:      r.Timeout.Duration(),
		LatencyTarget: r.LatencyTarget.Duration(),
		Request: placement.Request{
			Service: service,
			Key:     "request",
		},
	}
}

// askShared returns the placement query of a request with a shared prompt segment.
func askShared(r *catalog.Route, part string) ingress.TargetQuery {
	q := ask(r)
	q.Request.Prompt = prompt
	q.Request.Segments = []placement.Segment{{
		ID:     part,
		Tokens: shared,
	}}
	return q
}

// lowest draws the number at which the smallest gain sends a request to another region.
func lowest(int) int { return 0 }
