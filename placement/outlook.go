package placement

import "time"

// Outlook is what a request would meet in a region.
type Outlook struct {
	Expect  time.Duration // until the first byte
	Missing int           // shared tokens that would have to be read
	Unsent  int           // shared tokens that no box is known to have sent there
	Failing float64       // share of failures of late at the replica that would take it
	Busy    float64       // share of the time that engines spend on reading prompts
	Usable  int           // replicas that could take it
	Fewest  int           // requests in flight at the replica that has the fewest
	Reason  Reason        // why none takes it now
	AgeMs   int64         // of what another region told
}

// Outlook returns what a request would meet here, without counting it in.
func (v *View) Outlook(req Request, boxes []string, now time.Duration) Outlook {
	best, none := v.best(req, boxes, now)
	out := Outlook{
		Expect:  best.expect,
		Missing: best.missing,
		Unsent:  best.unsent,
		Reason:  none.Reason,
	}
	if best.r != nil {
		out.Failing = best.r.Failing(now)
	}
	reads := 0
	for _, r := range v.byName {
		if r.info.Service == req.Service && v.unusable(r, req, now) == None {
			l := v.Load(r, now)
			if out.Usable == 0 || l.Requests < out.Fewest {
				out.Fewest = l.Requests
			}
			out.Usable++
			reads += l.Reads
		}
	}
	if v.byReports {
		reads *= v.activeBoxes // nobody tells what the others send
	}
	if out.Usable > 0 {
		out.Busy = float64(reads) / (float64(out.Usable) * prefillSpeed * 1000)
	}
	if v.byReports && out.Usable > 0 {
		out.Busy = max(out.Busy, v.usedSlotShare(req.Service, now))
	}
	return out
}
