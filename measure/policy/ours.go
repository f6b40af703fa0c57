package policy

import (
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/membership"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	service      = "engine"
	silentFor    = 10 * time.Second // as in package box
	firstTokenMs = 1900
	queueShare   = 0.5                    // as in package gateway
	domainBoxes  = 14                     // at most; larger regions have several domains
	prefillToken = 200 * time.Microsecond // as in package gateway, not what the stand-in takes
)

// ours routes with package fleet, one view a box, as package box does.
type ours struct {
	w      *world
	policy *bundle.Policy
	boxes  []*ourBox
	byName map[string]*ourBox
	engine map[string]*engine
	index  int // of the platform's lists
	seq    int
}

type ourBox struct {
	name   string
	region string
	view   *fleet.Fleet
}

func newOurs(w *world) router {
	o := &ours{
		w:      w,
		byName: make(map[string]*ourBox),
		engine: make(map[string]*engine),
	}
	for _, e := range w.engines {
		o.engine[e.name] = e
	}
	for _, p := range w.c.Regions {
		for i := range p.boxes {
			name := p.name + "-box-" + strconv.Itoa(i)
			b := &ourBox{
				name:   name,
				region: p.name,
				view:   fleet.New(name, name, p.name, p.name),
			}
			o.boxes = append(o.boxes, b)
			o.byName[name] = b
		}
	}
	o.policy = bundle.NewPolicy(o.bundle())
	o.listed()
	o.heartbeat()
	o.probe()
	return o
}

var _ router = (*ours)(nil)

func (o *ours) bundle() wire.Bundle {
	b := wire.Bundle{
		Version: 1,
	}
	for name, rank := range priorities {
		p := wire.Priority{
			Name: name,
			Rank: rank,
		}
		if rank == 0 {
			p.ReservedShare = 0.1
		}
		b.Priorities = append(b.Priorities, p)
	}
	s := wire.Service{
		Name: service,
		Kind: wire.ServiceKindEngine,
	}
	for _, p := range o.w.c.Regions {
		s.Regions = append(s.Regions, p.name)
		b.Regions = append(b.Regions, wire.Region{
			Name:           p.name,
			FailureDomains: []string{p.name},
		})
	}
	b.Services = []wire.Service{s}
	return b
}

// listed gives every box the platform's lists.
func (o *ours) listed() {
	o.index++
	for _, p := range o.w.c.Regions {
		list := o.list(p)
		for _, b := range o.boxes {
			b.view.TakeList(o.index, list, o.w.clock.Now())
		}
	}
}

func (o *ours) list(p place) wire.Fleet {
	list := wire.Fleet{
		Region:        p.name,
		FailureDomain: p.name,
	}
	for _, b := range o.boxes {
		if b.region == p.name {
			list.Boxes = append(list.Boxes, wire.BoxEntry{
				Name:    b.name,
				Callers: b.name,
				Peers:   b.name,
				State:   wire.ServingStateServing,
			})
		}
	}
	for _, e := range o.w.inRegion(p.name) {
		if e.leaving {
			continue
		}
		list.Upstreams = append(list.Upstreams, wire.UpstreamEntry{
			Name:    e.name,
			Service: service,
			URL:     "http://" + e.name,
			State:   wire.ServingStateServing,
			Slots:   slots,
		})
	}
	return list
}

func (o *ours) heartbeat() {
	o.seq++
	now := o.w.clock.Now()
	for _, from := range o.boxes {
		for _, to := range o.boxes {
			if from == to || from.region != to.region {
				continue
			}
			to.view.Table().Hear(wire.Heartbeat{
				Box:   from.name,
				Inc:   1,
				Seq:   o.seq,
				State: string(wire.ServingStateServing),
			}, now)
		}
	}
	o.w.clock.After(membership.Interval(o.largest()), o.heartbeat)
}

// largest returns the boxes of the largest region, each of which is one failure
// domain here; its interval of heartbeats is the longest.
func (o *ours) largest() int {
	n := 0
	for _, p := range o.w.c.Regions {
		n = max(n, p.boxes)
	}
	return min(n, domainBoxes)
}

// probe asks silent replicas for their load, each from the one box that does so.
func (o *ours) probe() {
	now := o.w.clock.Now()
	for _, b := range o.boxes {
		for _, r := range b.view.Inventory().Of(service) {
			if now-max(r.Reported, r.Probed) <= silentFor {
				continue
			}
			r.Probed = now
			if e := o.engine[r.Name]; b.view.Reads(r.Name, 1, now) && !e.dead {
				b.view.Inventory().Report(r.Name, e.report(), now)
			}
		}
	}
	o.w.clock.After(time.Second, o.probe)
}

func (o *ours) route(r *request, tried []string) (*target, time.Duration) {
	box := o.ask(r)
	now := o.w.clock.Now()
	p, refused := box.view.Place(o.request(r, tried, false), now)
	if refused == nil {
		return o.target(box, p, false), 0
	}
	if refused.Code != fleet.RetriesUsed {
		for _, b := range box.view.Away(o.policy, r.org, o.service(), false, now) {
			far := o.byName[b.Addr]
			box.view.TakeSummary(far.region, far.view.Summarize(now))
			if p, no := far.view.Place(o.request(r, tried, true), now); no == nil {
				return o.target(far, p, true), 0
			}
		}
	}
	return nil, admission.RetryAfter(refused.Wait, o.w.rng.Float64())
}

// ask asks any box at home which box to use.
func (o *ours) ask(r *request) *ourBox {
	var home []*ourBox
	for _, b := range o.boxes {
		if b.region == r.org.Home {
			home = append(home, b)
		}
	}
	asked := home[o.w.rng.IntN(len(home))]
	named := asked.view.Name(service, r.org.Name+"/"+strconv.Itoa(r.prefix), false, o.w.clock.Now())
	return o.byName[named[0]]
}

func (o *ours) service() wire.Service {
	s, _ := o.policy.Service(service)
	return s
}

func (o *ours) request(r *request, tried []string, foreign bool) fleet.Request {
	tokens := r.prefixTokens + r.suffix
	return fleet.Request{
		Org:     r.org,
		Service: o.service(),
		Policy:  o.policy,
		Tried:   tried,
		Foreign: foreign,
		Routing: routing.Request{
			PrefixKey:  r.org.Name + "/" + strconv.Itoa(r.prefix),
			RequestKey: strconv.Itoa(r.id),
			Prefill:    time.Duration(tokens) * prefillToken,
			MaxTTFT:    firstTokenMs * time.Millisecond,
			QueueRatio: queueShare,
		},
	}
}

func (o *ours) target(b *ourBox, p fleet.Placement, away bool) *target {
	e := o.engine[p.Upstream]
	t := &target{
		engine: e,
		away:   away,
	}
	if away {
		t.delay = farDelay
	}
	t.started = func(took time.Duration) {
		load := e.report()
		b.view.Start(p, fleet.Started{
			First: took,
			Load:  &load,
		}, o.w.clock.Now())
	}
	t.ended = func(ok, started bool, took time.Duration) {
		b.view.End(p, fleet.Finish{
			Failed:  !ok,
			Started: started,
			Hold:    took,
		}, o.w.clock.Now())
	}
	return t
}
