package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/poison"
)

// begin starts a replica.
func (w *World) begin(p *replica) {
	p.starts++
	w.serial++
	if w.terms.Parts != nil && w.terms.Parts.KeepIDs && p.starts > 1 {
		p.start = p.id
		return
	}
	p.start = fmt.Sprint("start-", w.serial)
	p.id = p.start
}

// end ends a replica. Each box that has requests there finds it out and tells.
func (w *World) end(p *replica) {
	if p.start == "" {
		return
	}
	start, runs := p.start, p.runs
	p.start = ""
	p.runs = make(map[*run]struct{})
	dialed := make(map[*poison.Detector]bool)
	for _, r := range ordered(runs) {
		w.cutRun(r, start, dialed)
	}
	w.clock.After(backAfter, func() { w.begin(p) })
}

// cutRun has the box of a run find out that its replica has ended.
func (w *World) cutRun(r *run, start string, dialed map[*poison.Detector]bool) {
	if r.deadly == nil && r.guilty == nil {
		w.row.OthersCut++
		if !r.again {
			w.clock.After(comeAgain, func() { w.comeAgain(r.content) })
		}
	}
	watch := r.box.watch
	if r.deadly == nil && r.guilty == nil && w.now()-r.at > survivesAfter {
		return
	}
	if watch == nil || watch.Served().ServedRecently(r.content, w.now()) {
		return
	}
	watch.Interrupted(start, r.content.Digest(), r.at, w.now())
	watch.InterruptedParts(start, r.content.PartDigests(), r.at, w.now())
	if r.alone {
		watch.EndTrial(start, r.content.Digest())
	}
	if dialed[watch] || !watch.ShouldProbe(start, w.now()) {
		return
	}
	dialed[watch] = true
	b := r.box
	w.clock.After(dialTime+poison.JointCrashDelay, func() {
		if b.watch == watch {
			watch.Crashed(start, w.now())
			w.tell(b)
		}
	})
}

// comeAgain has a request that was cut come once more, at any box.
func (w *World) comeAgain(c *poison.Content) {
	w.send(&run{
		box:     w.boxes[w.rnd.IntN(len(w.boxes))],
		content: c,
		again:   true,
	}, nil)
}

// quarantined says whether a box turns a request away.
func (w *World) quarantined(b *box, c *poison.Content) bool {
	_, quarantined := b.watch.Quarantined(c.Digest(), w.now())
	switch {
	case !quarantined && !b.watch.OnTrial(c.Digest(), w.now()):
		return false
	case b.watch.Served().ServedRecently(c, w.now()):
		w.clear(b, c)
		return false
	case !quarantined, w.isUntried(b, c):
		return false
	}
	return !b.watch.Served().WasServed(c) || !b.watch.ShouldRetry(c.Digest(), w.others(b), w.now())
}

// isUntried says whether a box has a quarantined request tried, which it has served before.
func (w *World) isUntried(b *box, c *poison.Content) bool {
	return b.watch.Served().WasServed(c) && b.watch.Untried(c.Digest())
}

// clear has a box know that a request was answered whole.
func (w *World) clear(b *box, c *poison.Content) {
	if b.watch.Clear(c.Digest(), w.now()) {
		w.tell(b)
	}
}

// send has a request come at a box, and be run by a replica of its region: p, if it is one.
func (w *World) send(r *run, p *replica) {
	b := r.box
	if b.watch == nil {
		return
	}
	if w.quarantined(b, r.content) || w.partQuarantined(r) {
		w.noteRefused(r)
		return
	}
	if w.waits(r, p) {
		return
	}
	if p == nil || p.start == "" || r.alone {
		p = w.pick(r)
	}
	if p == nil {
		return
	}
	r.at = w.now()
	p.runs[r] = struct{}{}
	if r.alone {
		b.watch.BeginTrial(p.start, r.content.Digest())
	}
	if r.deadly != nil {
		w.sendPoison(r.deadly, p, b)
		return
	}
	if r.guilty != nil && !w.isMended() {
		w.sendGuilty(r.guilty, p, b)
		return
	}
	w.row.Others++
	w.noteSound(b, false)
	length := w.upTo(longestRun)
	if r.beside != nil {
		length += 2 * endsAfter // it is cut where the poison request runs
	}
	if length > survivesAfter {
		w.clock.After(survivesAfter, func() { w.survive(p, r) })
	}
	w.clock.After(length, func() { w.answer(p, r) })
}

// waits says whether a request waits until it may run on trial, and has it come back then.
func (w *World) waits(r *run, p *replica) bool {
	d := r.content.Digest()
	watch := r.box.watch
	_, quarantined := watch.Quarantined(d, w.now())
	if !quarantined && !watch.OnTrial(d, w.now()) {
		return false // one that is quarantined comes here untried, or for its owner to try again
	}
	if quarantined && !w.isUntried(r.box, r.content) {
		return false
	}
	if r.came == 0 {
		r.came = w.now()
	}
	may, asks := watch.RequestTrial(d, func() []poison.Box { return w.others(r.box) }, w.now())
	w.post(r.box, asks)
	if may {
		r.alone = true
		return false
	}
	if w.now()-r.came > trialWait {
		w.noteRefused(r)
		return true
	}
	w.clock.After(trialCheck, func() { w.send(r, p) })
	return true
}

// sendBeside has an innocent request come where a poison one does. Each coming has a digest
// to make of its own.
func (w *World) sendBeside(b *box, o *beside, p *replica) {
	c := poison.Content{
		Target: o.content.Target,
	}
	w.send(&run{
		box:     b,
		content: &c,
		again:   true, // it comes again with the poison one only
		beside:  o,
	}, p)
}

// noteRefused counts another request that was turned away.
func (w *World) noteRefused(r *run) {
	switch {
	case r.deadly != nil, r.guilty != nil:
	case r.beside != nil:
		w.row.BesideRefused++
		if r.beside.first == 0 {
			r.beside.first = w.now()
		}
		r.beside.last = w.now()
	case r.content.Target == w.popular.Target:
		w.row.PopularRefused++
	default:
		w.noteSound(r.box, true)
		w.row.OthersRefused++
	}
}

// sendPoison has a replica end under a request.
func (w *World) sendPoison(g *deadly, p *replica, b *box) {
	if g.third > 0 && w.now()-g.third > contact && w.now()-b.whole > contact {
		g.late++
	}
	start := p.start
	w.clock.After(endsAfter, func() {
		if p.start != start {
			return
		}
		g.ends++
		if g.ends == endsThatCount {
			g.third = w.now()
			g.knownBy = make([]time.Duration, len(w.boxes))
		}
		w.end(p)
	})
}

// answer gives a run a whole answer.
func (w *World) answer(p *replica, r *run) {
	w.survive(p, r)
	delete(p.runs, r)
}

// survive has the box of a run know that the replica survives it, unless it was cut.
func (w *World) survive(p *replica, r *run) {
	if _, ok := p.runs[r]; !ok || r.box.watch == nil {
		return
	}
	r.box.watch.Served().Add(r.content, w.now())
	r.box.watch.ServedParts().AddParts(r.content.PartDigests(), w.now())
	r.box.watch.Survived(p.start, r.at)
	if r.guilty != nil && r.guilty.answered == 0 {
		r.guilty.answered = w.now() - warmUp
	}
	if r.box.watch.ClearParts(r.content.PartDigests(), w.now()) {
		w.tell(r.box)
	}
	if r.alone {
		r.box.watch.EndTrial(p.start, r.content.Digest())
	}
	if r.box.watch.PublishedCount() > 0 || r.content.Digested() {
		w.clear(r.box, r.content)
	}
}

// pick returns a replica for a request, nil for none.
func (w *World) pick(r *run) *replica {
	if !r.alone {
		return w.pickBut(r.box.region, nil)
	}
	if p := w.trialTarget(r); p != nil {
		return p
	}
	for most := 0; ; most++ {
		but := r.box.watch.IncarnationsOnTrial(r.content.Digest(), most)
		if p := w.pickBut(r.box.region, but); p != nil || len(but) == 0 {
			return p
		}
	}
}

// trialTarget returns the replica of the box's region at which a request runs on trial, nil if
// another one with as many ends runs there.
func (w *World) trialTarget(r *run) *replica {
	byStart := make(map[string]*replica)
	for _, p := range w.replicas[r.box.region*w.terms.Replicas:][:w.terms.Replicas] {
		if p.start != "" {
			byStart[p.start] = p
		}
	}
	return byStart[r.box.watch.TrialTarget(r.content.Digest(), slices.Collect(maps.Keys(byStart)))]
}

// pickBut returns a replica of a region, but for some starts.
func (w *World) pickBut(region int, but []string) *replica {
	first := region * w.terms.Replicas
	for range w.terms.Replicas {
		p := w.replicas[first+w.rnd.IntN(w.terms.Replicas)]
		if p.start != "" && !slices.Contains(but, p.start) {
			return p
		}
	}
	return nil
}
