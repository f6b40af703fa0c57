package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/poison"
)

const (
	endsThatCount = 3                // of a request's ends, after which it may reach few more
	cutFor        = 4 * time.Second  // that a region is cut off
	warmUp        = 12 * time.Second // before the first poison request comes
)

// Row is what one installation went through.
type Row struct {
	Boxes          int     `json:"boxes"`
	Poison         int     `json:"poison"`
	MostEnded      int     `json:"most_ended"`       // replicas, by one poison request
	MeanEnded      float64 `json:"mean_ended"`       // by each
	MostLate       int     `json:"most_late"`        // sends of one by boxes in touch, later than the time of contact after its third end
	KnownMs        int64   `json:"known_ms"`         // after the third end, median of the boxes
	KnownLastMs    int64   `json:"known_last_ms"`    // until the last box of any request knew
	Others         int     `json:"others"`           // requests that were sent
	OthersCut      int     `json:"others_cut"`       // with a replica that ended
	OthersRefused  int     `json:"others_refused"`   // turned away as if they ended replicas
	PopularRefused int     `json:"popular_refused"`  // the same, of the popular request
	BesideRefused  int     `json:"beside_refused"`   // the same, of those that come with a poison one
	BesideLongMs   int64   `json:"beside_long_ms"`   // from the first to the last time that one of them was, the longest
	PartEnded      int     `json:"part_ended"`       // replicas, by one part of prompts
	PartLate       int     `json:"part_late"`        // sends of requests with one by boxes in touch, later than the time of contact after its fifth end
	PartAnsweredMs int64   `json:"part_answered_ms"` // after the first wave began, until a replica first survived one
	SoundRefused   float64 `json:"sound_refused"`    // share of the other requests at boxes in touch since the fifth end of a part, or the last if there are fewer
	BytesPerBox    float64 `json:"bytes_per_box_s"`  // sent and received in a second, with the headers of UDP and IPv4
	MostBytes      float64 `json:"most_bytes_per_s"` // of the box with the most
}

// Sizes returns the installations that are measured.
func Sizes(seed uint64) []Terms {
	var out []Terms
	for _, size := range []struct{ regions, perRegion, replicas int }{{3, 3, 4}, {6, 10, 40}, {10, 30, 90}, {13, 30, 300}} {
		for _, n := range []int{1, 10, 100} {
			out = append(out, Terms{
				Seed:      seed,
				Regions:   size.regions,
				PerRegion: size.perRegion,
				Replicas:  size.replicas,
				Poison:    n,
				ComeEvery: 400 * time.Millisecond,
				AtOnce:    1,
				Rate:      5,
				Popular:   0.1,
				Loss:      0.02,
				For:       30 * time.Second,
			})
		}
	}
	return out
}

// Measure runs an installation.
func Measure(t Terms) Row {
	w := newWorld(t)
	w.load()
	w.disturb()
	for _, g := range w.deadly {
		w.clock.After(warmUp+w.upTo(t.ComeEvery), func() { w.come(g) })
	}
	for _, g := range w.guilty {
		w.clock.After(warmUp+w.upTo(t.ComeEvery), func() { w.comeWithPart(g, w.now()) })
	}
	w.clock.RunUntil(warmUp + t.For)
	return w.result()
}

// load has other requests come at all boxes.
func (w *World) load() {
	for _, b := range w.boxes {
		gap := time.Duration(float64(time.Second) / w.terms.Rate)
		var next func()
		next = func() {
			w.send(&run{
				box:     b,
				content: w.harmless(),
			}, nil)
			w.clock.After(w.upTo(2*gap), next)
		}
		w.clock.After(w.upTo(gap), next)
	}
}

// harmless returns a request that ends no replica.
func (w *World) harmless() *poison.Content {
	if w.terms.Parts != nil {
		w.serial++
		c := &poison.Content{
			Target: fmt.Sprint("/other/", w.serial),
		}
		w.soundPrompt(c)
		return c
	}
	if w.rnd.Float64() < w.terms.Popular {
		c := w.popular // each has a digest of its own
		return &c
	}
	w.serial++
	return &poison.Content{
		Target: fmt.Sprint("/other/", w.serial),
	}
}

// come has a poison request come, again and again, and others with it.
func (w *World) come(g *deadly) {
	for range w.terms.AtOnce {
		c := poison.Content{
			Target: g.content.Target,
		}
		r := &run{
			box:     w.boxes[w.rnd.IntN(len(w.boxes))],
			content: &c,
			deadly:  g,
		}
		var p *replica
		if len(g.beside) > 0 {
			p = w.pick(r)
		}
		for _, o := range g.beside {
			w.sendBeside(r.box, o, p)
		}
		w.send(r, p)
	}
	w.clock.After(w.terms.ComeEvery, func() { w.come(g) })
}

// disturb has boxes be killed, regions be cut off, and the replicas of one end at once.
func (w *World) disturb() {
	w.repeat(w.terms.KillEvery, func() { w.kill(w.boxes[w.rnd.IntN(len(w.boxes))]) })
	w.repeat(w.terms.CutEvery, func() {
		region := w.rnd.IntN(w.terms.Regions)
		w.cut = region
		w.clock.After(cutFor, func() {
			w.cut = -1
			for _, b := range w.boxes {
				if b.region == region {
					b.whole = max(b.whole, w.now())
				}
			}
		})
	})
	w.repeat(w.terms.EndEvery, func() { w.end(w.replicas[w.rnd.IntN(len(w.replicas))]) })
	if w.terms.Domains > 0 {
		w.clock.After(warmUp+w.terms.Domains, func() {
			for _, p := range w.replicas[:w.terms.Replicas] {
				w.end(p)
			}
		})
	}
}

// repeat does something again and again.
func (w *World) repeat(every time.Duration, act func()) {
	if every == 0 {
		return
	}
	w.clock.After(every, func() {
		act()
		w.repeat(every, act)
	})
}

// noteKnown notes which boxes know by now that a request is quarantined.
func (w *World) noteKnown(g *deadly) {
	if g.third == 0 {
		return
	}
	d := g.content.Digest()
	for i, b := range w.boxes {
		if g.knownBy[i] > 0 || b.watch == nil {
			continue
		}
		if _, quarantined := b.watch.Quarantined(d, w.now()); quarantined {
			g.knownBy[i] = max(w.now()-g.third, 1)
		}
	}
}

// result returns the row.
func (w *World) result() Row {
	out := w.row
	out.Boxes = len(w.boxes)
	out.Poison = len(w.deadly)
	w.partResult(&out)
	var known []time.Duration
	for _, g := range w.deadly {
		out.MostEnded = max(out.MostEnded, g.ends)
		out.MeanEnded += float64(g.ends) / float64(len(w.deadly))
		out.MostLate = max(out.MostLate, g.late)
		known = append(known, g.knownBy...)
	}
	for _, g := range w.deadly {
		for _, o := range g.beside {
			out.BesideLongMs = max(out.BesideLongMs, (o.last - o.first).Milliseconds())
		}
	}
	slices.Sort(known)
	if n := len(known); n > 0 {
		out.KnownMs = known[n/2].Milliseconds()
		out.KnownLastMs = known[n-1].Milliseconds()
	}
	total := (warmUp + w.terms.For).Seconds()
	for _, b := range w.boxes {
		out.BytesPerBox += float64(b.bytes) / total / float64(len(w.boxes))
		out.MostBytes = max(out.MostBytes, float64(b.bytes)/total)
	}
	return out
}

// ordered returns runs in the order in which they began.
func ordered(runs map[*run]struct{}) []*run {
	out := make([]*run, 0, len(runs))
	for r := range runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.box.name, b.box.name), cmp.Compare(a.content.Target, b.content.Target))
	})
	return out
}
