package box

import (
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	probeEvery    = time.Second      // how often the box looks whom to probe
	silentFor     = 10 * time.Second // a replica that told nothing for so long is probed
	probeTimeout  = time.Second
	probePath     = "/v1/load"
	maxProbe      = 4096 // bytes of an answer to a probe
	probeOverhead = 180  // bytes of request and answer headers, measured on the stand-in

	dispatchInterval = 20 * time.Millisecond // between two dispatches while requests wait
)

// place places a request at once, or refuses it.
func (b *Box) place(req fleet.Request) (p fleet.Placement, refused *fleet.Refused) {
	err := b.fleet.Do(func(f *fleet.Fleet) { p, refused, _ = f.Arrive(req, b.now()) })
	if err != nil {
		return fleet.Placement{}, refusedByEnd()
	}
	b.metrics.countRefusal(req.Service.Name, refused)
	return p, refused
}

// refusedByEnd is the refusal of a request after the box has ended.
func refusedByEnd() *fleet.Refused {
	return &fleet.Refused{
		Code: fleet.LeavingBox,
		Wait: time.Second,
	}
}

// await places a request, which waits for capacity in order until ctx ends.
func (b *Box) await(ctx context.Context, req fleet.Request) (p fleet.Placement, refused *fleet.Refused) {
	var w *fleet.Waiter
	err := b.fleet.Do(func(f *fleet.Fleet) { p, refused, w = f.Arrive(req, b.now()) })
	if err != nil {
		return fleet.Placement{}, refusedByEnd()
	}
	if w == nil {
		b.metrics.countRefusal(req.Service.Name, refused)
		return p, refused
	}
	select {
	case b.waits <- struct{}{}:
	default: // it is known that some wait
	}
	select {
	case o := <-w.Outcome():
		b.metrics.countWait(req.Service.Name, o)
		return o.Placement, o.Refused
	case <-ctx.Done():
		_ = b.fleet.Do(func(f *fleet.Fleet) { f.Withdraw(w, b.now()) })
		return fleet.Placement{}, &fleet.Refused{
			Code: string(admission.NoCapacity),
		}
	}
}

// runWaiting places waiting requests as capacity becomes free otherwise than by the end of a request
// of this box: what is believed of other boxes' requests changes with time.
func (b *Box) runWaiting(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.waits:
		}
		for n := 1; n > 0 && ctx.Err() == nil; {
			sleep.For(ctx, dispatchInterval)
			_ = b.fleet.Do(func(f *fleet.Fleet) {
				f.Dispatch(b.now())
				n = f.WaitingRequests()
			})
		}
	}
}

func (b *Box) start(p fleet.Placement, s fleet.Started) {
	b.fleet.Post(func(f *fleet.Fleet) { f.Start(p, s, b.now()) })
	if s.Load != nil {
		b.learnFromUpstream(s.Load.Version)
	}
}

func (b *Box) finish(p fleet.Placement, e fleet.Finish) {
	b.fleet.Post(func(f *fleet.Fleet) { f.End(p, e, b.now()) })
}

func (b *Box) whichBox(org wire.Organisation, service wire.Service, prefix string) (out []string) {
	if prefix != "" {
		prefix = org.Name + "/" + prefix
	}
	_ = b.fleet.Do(func(f *fleet.Fleet) { out = f.Name(service.Name, prefix, b.leaving.Load(), b.now()) })
	return out
}

func (b *Box) away(org wire.Organisation, service wire.Service, homeOnly bool) (out []fleet.Box) {
	policy := b.policy.Load()
	if policy == nil {
		return nil
	}
	_ = b.fleet.Do(func(f *fleet.Fleet) { out = f.Away(policy, org, service, homeOnly, b.now()) })
	return out
}

func (b *Box) regionLoad() (load float64) {
	_ = b.fleet.Do(func(f *fleet.Fleet) { load = f.Summarize(b.now()).Load })
	return load
}

func (b *Box) learnLoad(region string, load float64) {
	b.fleet.Post(func(f *fleet.Fleet) {
		f.TakeSummary(region, fleet.Summary{
			Load: load,
			At:   b.now(),
		})
	})
}

func (b *Box) ownerBox(name string) (box fleet.Box, ok bool) {
	_ = b.fleet.Do(func(f *fleet.Fleet) { box, ok = f.Find(name) })
	return box, ok
}

// suspected says whether a box of this failure domain has not been heard of for
// some time. Of others nothing is heard, so they are not suspected.
func (b *Box) suspected(name string) (out bool) {
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		m, ok := f.Table().Get(name)
		out = ok && m.Inc > 0 && !f.Table().Alive(name, b.now())
	})
	return out
}

// runProbes asks the replicas that have told nothing for some time for their
// load. Answers to requests carry it too, so a busy replica is never probed.
func (b *Box) runProbes(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, target := range b.silent() {
			b.tasks.Go(func() { b.probe(ctx, target) })
		}
	}
}

type probeTarget struct{ name, url string }

// silent returns the replicas this box has to probe: its own share of those
// that are silent, by rendezvous among the boxes alive.
func (b *Box) silent() (out []probeTarget) {
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		now := b.now()
		names := f.Inventory().Names(func(r *upstream.Replica) bool {
			return r.Domain == b.settings.FailureDomain && !r.Leaving && now-max(r.Reported, r.Probed) > silentFor
		})
		for _, name := range names {
			r := f.Inventory().Get(name)
			r.Probed = now
			if f.Reads(name, 1, now) {
				out = append(out, probeTarget{
					name: name,
					url:  r.URL,
				})
			}
		}
	})
	return out
}

func (b *Box) probe(ctx context.Context, t probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, size, err := fetchLoad(ctx, b.upstream, t.url)
	b.metrics.countControl(probeKind, size+probeOverhead)
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		if err != nil {
			f.Inventory().Fail(t.name, b.now())
			return
		}
		f.Inventory().Report(t.name, load, b.now())
	})
	if err == nil {
		b.learnFromUpstream(load.Version)
	}
}

func fetchLoad(ctx context.Context, client *http.Client, url string) (wire.Load, int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+probePath, nil)
	if err != nil {
		return wire.Load{}, 0, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return wire.Load{}, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeLoad(resp)
}
