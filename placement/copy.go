package placement

import "time"

// Figures of copying what an engine keeps of a prompt from another engine. A part of
// 5,000 tokens is copied in 10 to 30 ms where reading takes 90 to 140, in which all others
// there wait; without copies the requests of 15 paired days with faults lost 0.018 of
// their worth more.
const (
	copySetupTime  = 5 * time.Millisecond // until a copy begins, by the sheet of an engine that tells it
	copyLinkShare  = 0.1                  // of the way between two engines that a copy counts on: copies go one after another
	bitsPerMegabit = 1e6                  // bits in a megabit
	bitsPerByte    = 8                    // bits in a byte
)

// copyTime returns how long it takes to copy tokens of a prompt to an engine from
// another one; false where it can't or had better read them.
func (r *Replica) copyTime(tokens int) (time.Duration, bool) {
	if tokens == 0 || r.service == nil || r.service.Engine == nil {
		return 0, false
	}
	e := r.service.Engine
	if !e.Copies || e.LinkMbps <= 0 || e.TokenBytes <= 0 {
		return 0, false
	}
	seconds := float64(tokens) * float64(e.TokenBytes) * bitsPerByte / (copyLinkShare * e.LinkMbps * bitsPerMegabit)
	took := copySetupTime + scale(seconds, time.Second)
	return took, took < ReadTime(tokens)
}

// cacheHolder returns the usable replica that most likely keeps the shared parts of a
// prompt: the one that is known to have been given most of them, or else the first in
// their rank, to which all boxes send them. It is nil for none.
func (v *View) cacheHolder(req Request, preferred *Replica, now time.Duration) *Replica {
	best := preferred
	fewest := req.Shared()
	for _, r := range v.byName {
		if r.info.Service != req.Service || v.unusable(r, req, now) != None {
			continue
		}
		if n := r.missing(req, now); n < fewest {
			best = r
			fewest = n
		}
	}
	if best == nil || best.connectFailures > 0 || best.noResponses > 0 {
		return nil // it may be lost, and a copy from it would be waited for
	}
	return best
}

// copyFrom returns the address of the replica that shared parts are copied from,
// empty where they are read.
func (w candidate) copyFrom() string {
	if w.source == nil {
		return ""
	}
	return w.source.info.Addr
}
