package placement

import "time"

// Estimate is what a request is expected to meet in a region.
type Estimate struct {
	Expect      time.Duration // until the first byte
	Missing     int           // shared tokens to prefill
	Uncached    int           // shared tokens that no box is recorded to have sent to the replica
	Failing     float64       // recent share of failures at the replica that would receive it
	Utilization float64       // maximum of the share of time spent on prefill and the share of slots in use
	Usable      int           // number of replicas that could receive it
	MinRequests int           // fewest requests in flight at one of them
	Reason      Reason        // why none can receive it now
	AgeMs       int64         // age of the report of another region
}

// Estimate estimates what a request would meet in this region, without reserving capacity.
func (v *View) Estimate(req Request, boxes []string, now time.Duration) Estimate {
	best, none := v.best(req, boxes, now)
	out := Estimate{
		Expect:   best.expect,
		Missing:  best.missing,
		Uncached: best.unsent,
		Reason:   none.Reason,
	}
	if best.r != nil {
		out.Failing = best.r.FailureShare(now)
	}
	reads := 0
	for _, r := range v.sorted {
		if r.info.Service == req.Service && v.unusable(r, req, now) == None {
			l := v.Load(r, now)
			if out.Usable == 0 || l.Requests < out.MinRequests {
				out.MinRequests = l.Requests
			}
			out.Usable++
			reads += l.PrefillRate
		}
	}
	if v.byReports {
		reads *= v.boxes // boxes don't report their prefill rates to each other then
	}
	if out.Usable > 0 {
		out.Utilization = float64(reads) / (float64(out.Usable) * v.figuresOf(req.Service, now).prefillCapacity())
	}
	if v.byReports && out.Usable > 0 {
		out.Utilization = max(out.Utilization, v.precedingPart(req.Service, levelOf(req.Urgency))*v.usedSlotShare(req.Service, now))
	}
	return out
}
