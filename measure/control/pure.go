package control

import (
	"context"
	"encoding/json"
	"runtime"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// Sizes between which the slopes of package fleet, bundle and ticket are taken.
const (
	fewReplicas = 143 // of a failure domain at the size to design for
	allReplicas = 1000
	fewOrgs     = 100
	allOrgs     = 1200
	tickets     = 100_000
	pureOps     = 5000
)

// pure makes a sampler of a function that needs nothing running.
func pure(name, unit, of string, from, to float64, once func() float64) sampler {
	return sampler{
		name:   name,
		unit:   unit,
		of:     of,
		from:   from,
		to:     to,
		method: "the package's own code in a loop, one process",
		once:   func(context.Context) (float64, error) { return once(), nil },
	}
}

func pureSlopes() []sampler {
	return []sampler{
		pure("place_cpu_replica", "microseconds a request and replica", "replicas", fewReplicas, allReplicas, func() float64 { return slope(fewReplicas, allReplicas, placeCPU) }),
		pure("place_cpu_base", "microseconds a request, replicas apart", "replicas", fewReplicas, allReplicas, func() float64 {
			return placeCPU(fewReplicas) - fewReplicas*slope(fewReplicas, allReplicas, placeCPU)
		}),
		pure("name_cpu_replica", "microseconds an answer to \"which box\" and replica", "replicas", fewReplicas, allReplicas, func() float64 { return slope(fewReplicas, allReplicas, nameCPU) }),
		pure("replica_heap", "bytes a replica known", "replicas", fewReplicas, allReplicas, func() float64 { return slope(fewReplicas, allReplicas, replicaHeap) }),
		pure("prefix_heap", "bytes a prefix remembered", "prefixes", 0, warmPrefixes, prefixHeap),
		pure("org_heap", "bytes an organisation in force, its nodes included", "organisations", fewOrgs, allOrgs, func() float64 { return slope(fewOrgs, allOrgs, policyHeap) }),
		pure("change_cpu_org", "microseconds a change of the bundle and organisation", "organisations", fewOrgs, allOrgs, func() float64 { return slope(fewOrgs, allOrgs, changeCPU) }),
		pure("change_bytes", "bytes of the nodes that a change of one organisation brings", "organisations", Organisations, Organisations, func() float64 { return changeBytes(Organisations) }),
		pure("ticket_heap", "bytes a ticket at its owner", "tickets", 0, tickets, ticketHeap),
		pure("mark_heap", "bytes a ticket at its witness", "tickets", 0, tickets, markHeap),
		pure("ticket_cpu", "microseconds a ticket at its owner, from issue to answer", "tickets", 0, tickets, ticketCPU),
		pure("heartbeat_bytes", "bytes a heartbeat with its envelope", "heartbeats", 1, 1, heartbeatBytes),
		pure("dump_cpu_replica", "microseconds a dump and replica", "replicas", fewReplicas, allReplicas, func() float64 { return slope(fewReplicas, allReplicas, dumpCPU) }),
	}
}

func view(replicas int) *fleet.Fleet {
	f := fleet.New("box-0", "127.0.0.1:1", "region", "domain")
	list := wire.Fleet{
		Region:        "region",
		FailureDomain: "domain",
	}
	for i := range replicas {
		list.Upstreams = append(list.Upstreams, wire.UpstreamEntry{
			Name:    name("havenrudder-engine", i),
			Service: "service",
			URL:     "http://127.0.0.1:20000/" + strconv.Itoa(i),
			State:   wire.ServingStateServing,
			Slots:   24,
		})
	}
	for i := 1; i < perDomain; i++ {
		list.Boxes = append(list.Boxes, wire.BoxEntry{
			Name:    name("box", i),
			Callers: "127.0.0.1:1",
			Peers:   "127.0.0.1:2",
			State:   wire.ServingStateServing,
		})
		f.Table().Hear(wire.Heartbeat{
			Box:   name("box", i),
			Inc:   1,
			Seq:   1,
			State: string(wire.ServingStateServing),
		}, time.Second)
	}
	f.TakeList(1, list, time.Second)
	return f
}

var (
	org = wire.Organisation{
		Name:     "organisation",
		Home:     "region",
		Regions:  []string{"region"},
		Priority: "low",
		Share:    1,
	}
	service = wire.Service{
		Name: "service",
		Kind: wire.ServiceKindEngine,
	}
)

func placeCPU(replicas int) float64 {
	f := view(replicas)
	policy := bundle.NewPolicy(wire.Bundle{})
	return perOp(pureOps, func(i int) {
		p, refused := f.Place(fleet.Request{
			Org:     org,
			Service: service,
			Policy:  policy,
			Routing: routing.Request{
				PrefixKey:  name("prefix", i%600),
				RequestKey: name("id", i),
				Prefill:    300 * time.Millisecond,
				QueueRatio: 0.5,
			},
		}, time.Second)
		if refused == nil {
			f.Start(p, fleet.Started{}, time.Second)
			f.End(p, fleet.Finish{
				Started: true,
			}, time.Second)
		}
	})
}

func nameCPU(replicas int) float64 {
	f := view(replicas)
	return perOp(pureOps, func(i int) { f.Name("service", name("prefix", i%600), false, time.Second) })
}

func replicaHeap(replicas int) float64 {
	before := heap()
	f := view(replicas)
	after := heap()
	runtime.KeepAlive(f)
	return after - before
}

const warmPrefixes = 8192 // as in package fleet

func prefixHeap() float64 {
	f := view(fewReplicas)
	policy := bundle.NewPolicy(wire.Bundle{})
	before := heap()
	for i := range warmPrefixes {
		p, refused := f.Place(fleet.Request{
			Org:     org,
			Service: service,
			Policy:  policy,
			Routing: routing.Request{
				PrefixKey:  name("organisation/prefix", i),
				QueueRatio: 0.5,
			},
		}, time.Second)
		if refused == nil {
			f.End(p, fleet.Finish{}, time.Second)
		}
	}
	after := heap()
	runtime.KeepAlive(f)
	return (after - before) / warmPrefixes
}

// bundleOf returns the bundle of the size to design for with so many
// organisations.
func bundleOf(orgs int) wire.Bundle {
	b := makeBundle(390)
	first := b.Organisations[0]
	b.Organisations = nil
	for i := range orgs {
		first.Name = name("organisation", i)
		b.Organisations = append(b.Organisations, first)
	}
	return b
}

func policyHeap(orgs int) float64 {
	before := heap()
	root, nodes, err := bundle.Split(bundleOf(orgs))
	if err != nil {
		return 0
	}
	joined, held, err := bundle.Join(1, root, nil, func(h bundle.Hash) ([]byte, error) { return nodes[h].Data(), nil })
	if err != nil {
		return 0
	}
	nodes = nil
	policy := bundle.NewPolicy(joined)
	after := heap()
	runtime.KeepAlive(held)
	runtime.KeepAlive(policy)
	return after - before
}

const (
	changeOps = 200
	sampled   = 30 // organisations changed
)

// changeCPU returns the processor time of taking a change of one organisation:
// joining the tree, checking the bundle and making the policy.
func changeCPU(orgs int) float64 {
	b := bundleOf(orgs)
	_, held, err := bundle.Split(b)
	if err != nil {
		return 0
	}
	b.Organisations[0].Share = 0.5
	root, nodes, err := bundle.Split(b)
	if err != nil {
		return 0
	}
	return perOp(changeOps, func(int) {
		joined, _, err := bundle.Join(1, root, held, func(h bundle.Hash) ([]byte, error) { return nodes[h].Data(), nil })
		if err == nil && bundle.Check(joined) == nil {
			bundle.NewPolicy(joined)
		}
	})
}

func changeBytes(orgs int) float64 {
	b := bundleOf(orgs)
	_, before, err := bundle.Split(b)
	if err != nil {
		return 0
	}
	total := 0
	for i := range sampled {
		b.Organisations[i].Share = 0.5
		_, after, err := bundle.Split(b)
		if err != nil {
			return 0
		}
		for h, n := range after {
			if _, ok := before[h]; !ok {
				total += len(n.Data())
			}
		}
		before = after
	}
	return float64(total) / sampled
}

func counter() func() string {
	n := 0
	return func() string {
		n++
		return "ticket-0123456789ab-" + strconv.Itoa(n)
	}
}

var witness = ticket.Witnessed{
	Name: "box-1",
	Inc:  1,
}

func ticketHeap() float64 {
	before := heap()
	o := ticket.NewOwner("box-0", 1, counter(), ticket.WithBounds(2*tickets, 1<<30))
	for range tickets {
		_, _ = o.Issue("service", "organisation", witness, time.Hour, 0)
	}
	after := heap()
	runtime.KeepAlive(o)
	return (after - before) / tickets
}

func markHeap() float64 {
	o := ticket.NewOwner("box-0", 1, counter(), ticket.WithBounds(2*tickets, 1<<30))
	w := ticket.NewWitness("box-1", 1, 2*tickets)
	var all []wire.Ticket
	for range tickets {
		t, _ := o.Issue("service", "organisation", witness, time.Hour, 0)
		all = append(all, t)
	}
	before := heap()
	for _, t := range all {
		w.Announce(t, 0)
	}
	after := heap()
	runtime.KeepAlive(all)
	runtime.KeepAlive(w)
	return (after - before) / tickets
}

func ticketCPU() float64 {
	o := ticket.NewOwner("box-0", 1, counter(), ticket.WithBounds(4*tickets, 1<<30))
	for range tickets {
		_, _ = o.Issue("service", "organisation", witness, time.Hour, 0)
	}
	return perOp(tickets, func(int) {
		t, _ := o.Issue("service", "organisation", witness, time.Hour, 0)
		o.Begin(t, 1, 0)
		o.Announced(t.ID, true, 0)
		o.Finish(t.ID, wire.RanRan, ticket.Result{})
	})
}

const envelope = 43 // of JSON-RPC with its length, as in package peer

func heartbeatBytes() float64 {
	data, err := json.Marshal(wire.Heartbeat{
		Box:     "mtl-entrepot-a-07",
		Inc:     1_790_000_000_000,
		Seq:     123_456,
		Version: 1_234_567,
		ClockMs: 86_400_000,
		Load:    0.57,
	})
	if err != nil {
		return 0
	}
	return float64(len(data) + envelope)
}

func dumpCPU(replicas int) float64 {
	f := view(replicas)
	return perOp(changeOps, func(int) {
		for _, r := range f.Inventory().Of("service") {
			_, _ = json.Marshal(r)
		}
	})
}
