package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/speed"
)

// Parameters for samples of a replica's speed.
const (
	guessedWeight   = 0.25                   // of a sample whose own work is a guess: segments that may be cached, or are copied
	cachedWeight    = 0.5                    // of a sample with segments that may have been evicted
	minSampleWeight = 0.02                   // lower ones are waits for others' work
	figuresTTL      = 100 * time.Millisecond // of a service's figures, which change slowly
	idleShare       = 0.25                   // share of its slots up to which an engine counts as idle
	shortPrefill    = 600                    // most prompt tokens of a sample of the time to the first event
	longPrefill     = 1500                   // fewest prompt tokens of a sample of the prefill speed
	minFactor       = 0.1                    // of a sample that was shorter than its other parts are expected to be
)

// work is the time that a request is expected to take until its first byte at a replica of ratio 1.
type work struct {
	own     time.Duration // of the request itself
	wait    time.Duration // for requests that were there before
	typical time.Duration // duration of a request of the service
	weight  float64       // of a sample: how well own is known
	prefill int           // prompt tokens to prefill; 0 at a plain service
	step    time.Duration // part of own that depends on the engine's running requests
}

func (k work) total() time.Duration { return k.own + k.wait }

// sampleWeight returns the weight of a sample of the request. A wait shows the load of a replica
// rather than its speed.
func (k work) sampleWeight() float64 {
	if k.total() <= 0 {
		return 0
	}
	share := float64(k.own) / float64(k.total())
	return k.weight * share
}

// figures are learned of the replicas of a service.
type figures struct {
	average    float64 // median ratio of its replicas, 1 if unknown
	prefill    float64 // factor of the default time to prefill a token
	firstEvent float64 // factor of the default time to the first event of an idle engine
	typical    time.Duration
	at         time.Duration
}

// figuresOf returns the figures of a service.
func (v *View) figuresOf(service string, now time.Duration) *figures {
	f := v.figures[service]
	if f == nil {
		f = new(figures)
		v.figures[service] = f
	}
	if f.average == 0 || now-f.at >= figuresTTL || now < f.at {
		v.learn(f, service, now)
	}
	return f
}

func (v *View) learn(f *figures, service string, now time.Duration) {
	var ratios, prefill, firstEvent, durations []float64
	for _, r := range v.sorted {
		if r.info.Service != service {
			continue
		}
		if ratio, ok := r.speed.Drift(now); ok {
			ratios = append(ratios, ratio)
		}
		if x, ok := r.prefillFigure.Factor(); ok {
			prefill = append(prefill, x)
		}
		if x, ok := r.firstEventFigure.Factor(); ok {
			firstEvent = append(firstEvent, x)
		}
		if r.work > 0 {
			durations = append(durations, float64(r.work))
		}
	}
	*f = figures{
		average:    speed.Median(ratios, 1),
		prefill:    speed.Median(prefill, 1),
		firstEvent: speed.Median(firstEvent, 1),
		typical:    time.Duration(speed.Median(durations, float64(defaultDuration))),
		at:         now,
	}
}

// PrefillTime returns the time that an engine of a service takes to prefill tokens.
func (v *View) PrefillTime(service string, tokens int, now time.Duration) time.Duration {
	return v.figuresOf(service, now).prefillTime(tokens)
}

func (f *figures) prefillTime(tokens int) time.Duration { return scale(f.prefill, PrefillTime(tokens)) }

// prefillCapacity returns the prompt tokens that an engine prefills per second.
func (f *figures) prefillCapacity() float64 { return prefillSpeed * 1000 / f.prefill }

// Speed returns how fast a replica works.
func (v *View) Speed(r *Replica, now time.Duration) speed.State {
	return r.speed.At(v.figuresOf(r.info.Service, now).average, now)
}

// recordSpeed records the time to the first byte of a choice as a sample of its replica's speed.
func (v *View) recordSpeed(c *Choice, took, now time.Duration) {
	r := c.reservation.replica
	k := v.metWork(c, now)
	c.reservation.work = k
	f := v.figuresOf(r.info.Service, now)
	if weight := k.sampleWeight(); weight >= minSampleWeight {
		r.speed.Add(speed.Sample{
			Took:     took,
			Expected: k.total(),
			Weight:   weight,
		}, f.average, now)
	}
	r.recordFigures(k, c.Load, f, took)
}

// metWork returns the work of a choice with the load that its request met. The report that comes
// with the answer includes requests of other boxes that this box did not know of.
func (v *View) metWork(c *Choice, now time.Duration) work {
	r := c.reservation.replica
	k := c.reservation.work
	others := 0
	if at := r.selfReport.expiry - selfReportTTL; r.selfReport.expiry > 0 && at >= now-reportDelay {
		others = r.own.Requests + r.selfReport.load.Requests - 1
	}
	wait := scale(v.queuedAhead(r, Load{Requests: max(others, c.Load.Requests)}, c.reservation.level), k.typical)
	if k.prefill > 0 && r.report.At > 0 && r.report.At >= now-reportDelay {
		unread := v.typicalLoad[r.info.Service].unread
		wait += v.PrefillTime(r.info.Service, int(float64(r.report.Waiting)*unread), now)
	}
	k.wait = max(k.wait, wait)
	return k
}

// reportDelay is the longest time between the records of the load report in an answer and of its
// first byte.
const reportDelay = 20 * time.Millisecond

// recordFigures records a sample of an engine that was idle, or nearly so.
func (r *Replica) recordFigures(k work, l Load, f *figures, took time.Duration) {
	if k.prefill == 0 || k.wait > 0 || k.weight < cachedWeight || float64(l.Requests) > idleShare*float64(r.slots()) {
		return
	}
	prefill := f.prefillTime(k.prefill)
	first := scale(f.firstEvent, firstEventTime)
	switch {
	case k.prefill <= shortPrefill:
		r.firstEventFigure.Add(max(float64(took-prefill-k.step)/float64(firstEventTime), minFactor))
	case k.prefill >= longPrefill:
		r.prefillFigure.Add(max(float64(took-first-k.step)/float64(PrefillTime(k.prefill)), minFactor))
	}
}

// recordWork records the duration of a request at a plain service, without its wait.
func (r *Replica) recordWork(duration time.Duration, k work) {
	if duration <= 0 || k.prefill > 0 || k.own <= 0 {
		return
	}
	d := scale(float64(k.own)/float64(k.total()), duration)
	if r.work == 0 {
		r.work = d
		return
	}
	r.work += time.Duration(durationWeight * float64(d-r.work))
}

// ahead returns the requests that have to end before a further one gets a slot, per slot.
func (r *Replica) ahead(l Load) float64 {
	slots := r.slots()
	if l.Requests < slots {
		return 0
	}
	return float64(l.Requests-slots+1) / float64(slots)
}
