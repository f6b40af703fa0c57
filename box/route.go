package box

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	awayBoxes     = 2                // boxes of one other region that are tried
	probeEvery    = time.Second      // how often the box looks whom to probe
	silentFor     = 10 * time.Second // a replica that told nothing for so long is probed
	probeTimeout  = time.Second
	probePath     = "/v1/load"
	maxProbe      = 4096 // bytes of an answer to a probe
	probeOverhead = 180  // bytes of request and answer headers, measured on the stand-in
)

func (b *Box) place(req gateway.PlaceRequest) (p gateway.Placement, refused *gateway.Refused) {
	err := b.fleet.Do(func(s *fleetState) { p, refused = s.place(req, b.now()) })
	if err != nil {
		return gateway.Placement{}, &gateway.Refused{
			Code: "leaving",
			Wait: time.Second,
		}
	}
	return p, refused
}

func (b *Box) finish(p gateway.Placement, f gateway.Finish) {
	b.fleet.Post(func(s *fleetState) { s.end(p, f, b.now()) })
	if f.Load != nil {
		b.learnFromUpstream(f.Load.Version)
	}
}

func (b *Box) whichBox(org wire.Organisation, _ wire.Service, prefix string) (out []string) {
	_ = b.fleet.Do(func(s *fleetState) {
		key := org.Name + "/" + prefix
		if prefix == "" {
			s.turn++
			key += strconv.Itoa(s.turn)
		}
		out = s.namedBoxes(b.settings.Box, b.addrs.Callers, key, b.leaving.Load(), b.now())
	})
	return out
}

// away returns boxes of other regions that data of org may enter, the nearest
// allowed region of the organisation's own list first.
func (b *Box) away(org wire.Organisation, service wire.Service, homeOnly bool) (out []gateway.Box) {
	policy := b.policy.Load()
	if policy == nil {
		return nil
	}
	_ = b.fleet.Do(func(s *fleetState) {
		for _, region := range org.Regions {
			if region == b.settings.Region || !policy.Allowed(org, service, region, homeOnly) {
				continue
			}
			boxes := s.regionBoxes(region, org.Name)
			out = append(out, boxes[:min(awayBoxes, len(boxes))]...)
		}
	})
	return out
}

func (b *Box) ownerBox(name string) (box gateway.Box, ok bool) {
	_ = b.fleet.Do(func(s *fleetState) { box, ok = s.find(name) })
	return box, ok
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
	_ = b.fleet.Do(func(s *fleetState) {
		now := b.now()
		names := s.inventory.Names(func(r *upstream.Replica) bool {
			return r.Domain == s.domain && !r.Leaving && now-max(r.Reported, r.Probed) > silentFor
		})
		for _, name := range names {
			r := s.inventory.Get(name)
			r.Probed = now
			if slices.Contains(s.readers(name, b.settings.Box, 1, now), b.settings.Box) {
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
	_ = b.fleet.Do(func(s *fleetState) {
		if err != nil {
			s.inventory.Fail(t.name, b.now())
			return
		}
		s.inventory.Report(t.name, load, b.now())
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
