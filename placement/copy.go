package placement

import "time"

// Limits on copies of cached prompt segments between engines.
const (
	copySetupTime  = 5 * time.Millisecond // until a copy starts transferring
	copyLinkShare  = 0.1                  // share of the link's bandwidth available to one copy
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// copyTime returns the time to copy the cached state of prompt tokens to an engine. It returns
// false if the engine can't copy it or prefills it faster.
func (r *Replica) copyTime(tokens int) (time.Duration, bool) {
	if tokens == 0 || !r.isEngine() {
		return 0, false
	}
	e := r.service.Engine
	if !e.CopiesCache || e.LinkMbps <= 0 || e.TokenBytes <= 0 {
		return 0, false
	}
	seconds := float64(tokens) * float64(e.TokenBytes) * bitsPerByte / (copyLinkShare * e.LinkMbps * bitsPerMegabit)
	took := copySetupTime + scale(seconds, time.Second)
	return took, took < PrefillTime(tokens)
}

// cacheHolder returns the usable replica that most likely has a prompt's shared segments
// cached: the one with the fewest missing tokens, or else the preferred one. It returns nil
// if there is none.
func (v *View) cacheHolder(req Request, preferred *Replica, now time.Duration) *Replica {
	best := preferred
	fewest := req.SharedTokens()
	for _, r := range v.sorted {
		if r.info.Service != req.Service || v.unusable(r, req, now) != None {
			continue
		}
		if n := v.missing(r, req, now); n < fewest {
			best = r
			fewest = n
		}
	}
	if best == nil || best.connectFailures > 0 || best.noResponses > 0 {
		return nil // it may have crashed, and the copy would stall
	}
	return best
}

func (w candidate) copyFrom() string {
	if w.source == nil {
		return ""
	}
	return w.source.info.Addr
}
