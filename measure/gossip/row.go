package gossip

import (
	"syscall"
	"time"
)

// Row is what one size of fleet costs and knows.
type Row struct {
	Boxes    int     `json:"boxes"`
	Regions  int     `json:"regions"`
	Replicas int     `json:"replicas_of_a_region"`
	Busy     int     `json:"replicas_with_work_of_a_box"`
	Loss     float64 `json:"lost_share"`
	Seed     uint64  `json:"seed"`
	Bytes    float64 `json:"bytes_sent_per_s_per_box"` // with the headers of UDP and IPv4; as many are received
	Messages float64 `json:"datagrams_sent_per_s_per_box"`
	CPU      float64 `json:"cpu_share_per_box"` // of encoding, decoding and tables, the world's own with it
	LoadAge  float64 `json:"age_of_a_told_load_s"`
	Unheard  float64 `json:"share_of_loads_older_than_they_count"`
	False    int     `json:"living_taken_for_dead"` // pairs of boxes, at moments 100 ms apart
	Death    float64 `json:"death_known_everywhere_s"`
	Start    float64 `json:"start_known_everywhere_s"`
	Leaving  float64 `json:"leaving_known_everywhere_s"`
	Revision float64 `json:"revision_known_everywhere_s"`
}

// Spans of a measurement.
const (
	warmUp   = 30 * time.Second
	steady   = 20 * time.Second
	sample   = 100 * time.Millisecond
	longest  = 60 * time.Second // that news are waited for
	loadsFor = time.Second      // that a load counts among few boxes
)

// Measure plays a fleet and returns its row.
func Measure(s Size) Row {
	w := New(s)
	w.Run(warmUp)
	row := Row{
		Boxes:    s.Boxes,
		Regions:  s.Regions,
		Replicas: s.Replicas,
		Busy:     s.Busy,
		Loss:     s.Loss,
		Seed:     s.Seed,
	}
	w.rest(&row)
	row.Revision = w.revision().Seconds()
	row.Leaving = w.leaving().Seconds()
	row.Death = w.death(s.Boxes / 2).Seconds()
	row.Start = w.start(s.Boxes / 2).Seconds()
	return row
}

// rest measures a fleet in which nothing happens.
func (w *World) rest(row *Row) {
	sent, count, cpu := w.sent, w.count, cpuTime()
	w.Run(steady)
	boxSeconds := steady.Seconds() * float64(w.size.Boxes)
	row.Bytes = float64(w.sent-sent) / boxSeconds
	row.Messages = float64(w.count-count) / boxSeconds
	row.CPU = (cpuTime() - cpu).Seconds() / boxSeconds
	ages, n, old := 0.0, 0, 0
	for range steady / sample {
		w.Run(sample)
		row.False += w.falseDeaths()
	}
	for _, b := range w.boxes {
		for _, at := range b.told {
			ages += (w.now - at).Seconds()
			n++
			if w.now-at > max(loadsFor, b.table.LoadsTTL()) {
				old++
			}
		}
	}
	row.LoadAge = ages / float64(max(n, 1))
	row.Unheard = float64(old) / float64(max(n, 1))
}

// falseDeaths counts living boxes that others take for dead.
func (w *World) falseDeaths() (n int) {
	for _, b := range w.boxes {
		for _, o := range w.boxes {
			if b.up && o.up && !b.table.Alive(o.Name(), w.now) {
				n++
			}
		}
	}
	return n
}

// all says whether something holds for all boxes that run, but one.
func (w *World) all(but int, holds func(b *Box) bool) bool {
	for i, b := range w.boxes {
		if i != but && b.up && !holds(b) {
			return false
		}
	}
	return true
}

// serves says whether a box takes another one for alive and serving.
func (w *World) serves(b *Box, name string) bool {
	for _, m := range b.table.Serving("", w.now) {
		if m.Status.Box == name {
			return true
		}
	}
	return false
}

// death kills a box and waits until all know.
func (w *World) death(i int) time.Duration {
	w.Kill(i)
	return w.Until(longest, func() bool {
		return w.all(i, func(b *Box) bool { return !b.table.Alive(w.boxes[i].Name(), w.now) })
	})
}

// start starts a box that was dead and waits until all know.
func (w *World) start(i int) time.Duration {
	w.Start(i)
	return w.Until(longest, func() bool {
		return w.all(i, func(b *Box) bool { return w.serves(b, w.boxes[i].Name()) })
	})
}

// leaving has a box leave and waits until all know.
func (w *World) leaving() time.Duration {
	const i = 1
	w.Leave(i)
	return w.Until(longest, func() bool {
		return w.all(i, func(b *Box) bool { return !w.serves(b, w.boxes[i].Name()) })
	})
}

// revision publishes to one box and waits until all know.
func (w *World) revision() time.Duration {
	const next = 413
	w.Publish(2, next)
	return w.Until(longest, func() bool {
		return w.all(2, func(b *Box) bool { return b.Catalog() >= next })
	})
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // it fails only for arguments that are not used here
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Sizes returns the fleets to measure: today's, the next, and the one to design for,
// each without and with lost datagrams.
func Sizes(seed uint64) []Size {
	var out []Size
	for _, s := range []Size{
		{Boxes: 8, Regions: 3, Replicas: 5, Busy: 5},
		{Boxes: 64, Regions: 3, Replicas: 47, Busy: 12},
		{Boxes: 86, Regions: 3, Replicas: 48, Busy: 12},
		{Boxes: 390, Regions: 11, Replicas: 364, Busy: 200},
	} {
		for _, loss := range []float64{0, 0.1} {
			s.Loss = loss
			s.Seed = seed
			out = append(out, s)
		}
	}
	return out
}
