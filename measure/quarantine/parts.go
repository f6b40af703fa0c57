package quarantine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/poison"
)

const (
	partEndsThatCount = 5   // of a part's ends, after which requests with it may reach few more
	firstParts        = 8   // that sound prompts begin with
	secondParts       = 134 // that may follow
	fewestSound       = 20  // requests of which a share is told
	partSkew          = 0.3 // of their shares, each by its rank to this power
)

// Place is where the guilty part stands in its prompts.
type Place int

// The places of a guilty part.
const (
	InTheMiddle Place = iota
	First
	BesideOne // in the middle, always beside one that sound prompts have too
)

// PartTerms are the parts of prompts of an installation.
type PartTerms struct {
	Guilty   int // parts that end their replicas
	Place    Place
	Invented int           // parts of each guilty prompt that no other has
	Pause    time.Duration // between two waves of guilty prompts; 0 for one without end
	Wave     time.Duration // for which they come
	Mended   time.Duration // after the first of them comes, when replicas survive them; 0 for never
	KeepIDs  bool          // replicas that ended are back under their IDs
}

// guiltyPart is a part that ends its replicas, and what it has done.
type guiltyPart struct {
	id       string
	ends     int
	fifth    time.Duration // when it ended the fifth replica; 0 while it has not
	late     int           // sends later than the time of contact after the fifth end, by boxes in touch
	answered time.Duration // when a replica first survived it
}

// soundCount counts sound requests since the fifth end of a part.
type soundCount struct {
	sent    int
	refused int
}

// soundParts returns the parts of a sound prompt: one that many have, and mostly one that few have.
func (w *World) soundParts() []string {
	out := []string{fmt.Sprint("first-", w.ranked(firstParts))}
	if w.rnd.IntN(4) > 0 {
		out = append(out, fmt.Sprint("second-", w.ranked(secondParts)))
	}
	return out
}

// ranked draws one of n things of which the first ones are more frequent.
func (w *World) ranked(n int) int {
	return int(float64(n) * math.Pow(w.rnd.Float64(), 1/(1-partSkew)))
}

// guiltyPrompt returns a request with a guilty part, like no other.
func (w *World) guiltyPrompt(g *guiltyPart) *poison.Content {
	w.serial++
	list := w.soundParts()
	switch w.terms.Parts.Place {
	case First:
		list[0] = g.id
	case BesideOne:
		list = []string{list[0], "beside-" + g.id, g.id}
	default:
		list = slices.Insert(list, 1, g.id)
	}
	for i := range w.terms.Parts.Invented {
		list = append(list, fmt.Sprint("invented-", w.serial, "-", i))
	}
	return &poison.Content{
		Target: fmt.Sprint("/prompt/", w.serial),
		Parts:  list,
	}
}

// soundPrompt gives a sound request its parts. Where a guilty part always stands beside another, some
// sound prompts have that one.
func (w *World) soundPrompt(c *poison.Content) {
	c.Parts = w.soundParts()
	if w.terms.Parts.Place == BesideOne && w.rnd.IntN(20) == 0 {
		c.Parts = []string{c.Parts[0], "beside-" + w.guilty[w.rnd.IntN(len(w.guilty))].id}
	}
}

// comeWithPart has requests with a guilty part come, in waves.
func (w *World) comeWithPart(g *guiltyPart, from time.Duration) {
	t := w.terms.Parts
	if since := w.now() - from; t.Pause > 0 && since >= t.Wave {
		w.clock.After(t.Pause, func() { w.comeWithPart(g, w.now()) })
		return
	}
	w.send(&run{
		box:     w.boxes[w.rnd.IntN(len(w.boxes))],
		content: w.guiltyPrompt(g),
		guilty:  g,
	}, nil)
	w.clock.After(w.upTo(2*w.terms.ComeEvery), func() { w.comeWithPart(g, from) })
}

// isMended says whether replicas survive guilty parts by now.
func (w *World) isMended() bool {
	t := w.terms.Parts.Mended
	return t > 0 && w.now() >= warmUp+t
}

// partQuarantined says whether a box turns a request away for its parts.
func (w *World) partQuarantined(r *run) bool {
	b := r.box
	return b.watch.PartVerdict(r.content.PartDigests(), func() []poison.Box { return w.others(b) }, w.now()).Left > 0
}

// sendGuilty has a replica end under a part.
func (w *World) sendGuilty(g *guiltyPart, p *replica, b *box) {
	if g.fifth > 0 && w.now()-g.fifth > contact && w.now()-b.whole > contact {
		g.late++
	}
	start := p.starts
	w.clock.After(endsAfter, func() {
		if p.start == "" || p.starts != start {
			return
		}
		g.ends++
		if g.ends == partEndsThatCount {
			g.fifth = w.now()
		}
		w.end(p)
	})
}

// noteSound counts a sound request at a box in touch since the fifth end of a part, or the last if there
// are fewer.
func (w *World) noteSound(b *box, refused bool) {
	if w.now()-b.whole <= contact {
		return
	}
	for _, g := range w.guilty {
		if g.ends == 0 {
			continue
		}
		n := min(g.ends, partEndsThatCount)
		if refused {
			w.sound[n].refused++
		} else {
			w.sound[n].sent++
		}
		return
	}
}

// partResult adds what the guilty parts did to the row.
func (w *World) partResult(out *Row) {
	most := 0
	for _, g := range w.guilty {
		out.PartEnded = max(out.PartEnded, g.ends)
		out.PartLate = max(out.PartLate, g.late)
		out.PartAnsweredMs = max(out.PartAnsweredMs, g.answered.Milliseconds())
		most = max(most, min(g.ends, partEndsThatCount))
	}
	if n := w.sound[most]; n.refused+n.sent >= fewestSound {
		out.SoundRefused = float64(n.refused) / float64(n.refused+n.sent)
	}
}
