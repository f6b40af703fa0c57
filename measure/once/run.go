package once

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// Row is one line of the measurement.
type Row struct {
	Variant       Variant `json:"variant"`
	Faults        string  `json:"faults"`
	Seed          uint64  `json:"seed"`
	Ops           int     `json:"ops"`
	RanTwice      int     `json:"ran_twice"`
	NotRunButRan  int     `json:"not_run_but_ran"`
	Crossed       int     `json:"crossed"`
	UnknownShare  float64 `json:"unknown_share"`
	NotRunShare   float64 `json:"not_run_share"` // callers whose last word was "not run"
	AnsweredShare float64 `json:"answered_share"`
	P50           float64 `json:"added_p50_ms"` // from the first question to the answer, less the service's time
	P99           float64 `json:"added_p99_ms"`
	BytesPerOp    float64 `json:"bytes_per_op"` // between boxes
}

// Mix is a mix of faults; rates are per second of the whole world.
type Mix struct {
	Name     string
	Restarts float64
	Pauses   float64
	Cuts     float64
	Loss     float64 // share of messages lost
	Late     float64 // share of messages that come late
	Service  float64 // share of calls to the service that fail
}

// Mixes returns the mixes of faults that are measured.
func Mixes() []Mix {
	return []Mix{
		{Name: "calm"},
		{Name: "restarts", Restarts: 0.1},
		{Name: "pauses", Pauses: 0.1, Late: 0.01},
		{Name: "cuts", Cuts: 0.3, Loss: 0.002},
		{Name: "mixed", Restarts: 0.05, Pauses: 0.05, Cuts: 0.2, Loss: 0.005, Late: 0.01, Service: 0.01},
	}
}

const (
	worldBoxes = 6
	worldOps   = 1000
	worldTime  = 30 * time.Second
	tailTime   = 90 * time.Second // healed, so that every caller ends
	minDelay   = 100 * time.Microsecond
	maxDelay   = 900 * time.Microsecond
	lateDelay  = 3 * time.Second
	pauseMax   = 12 * time.Second
	cutMax     = 8 * time.Second
	serveDelay = 50 * time.Millisecond
	twiceShare = 0.001
	tick       = 50 * time.Millisecond
)

// driver steers a world by a seed.
type driver struct {
	mix    Mix
	rng    *rand.Rand
	world  *World
	healed bool
}

func newDriver(v Variant, mix Mix, seed uint64) *driver {
	d := &driver{
		mix: mix,
		rng: rand.New(rand.NewPCG(seed, uint64(len(mix.Name)))),
	}
	d.world = New(v, worldBoxes, Choices{
		Fate:   d.fate,
		Serve:  d.serve,
		Pick:   d.rng.IntN,
		Think:  func() time.Duration { return time.Duration(d.rng.Int64N(int64(thinkMax))) },
		Answer: func() bool { return d.rng.IntN(2) == 0 },
	})
	return d
}

func (d *driver) fate() Fate {
	f := Fate{
		Delay: minDelay + time.Duration(d.rng.Int64N(int64(maxDelay-minDelay))),
		Twice: d.rng.Float64() < twiceShare,
	}
	if d.healed {
		return f
	}
	f.Lost = d.rng.Float64() < d.mix.Loss
	if d.rng.Float64() < d.mix.Late {
		f.Delay = time.Duration(d.rng.Int64N(int64(lateDelay)))
	}
	return f
}

func (d *driver) serve() Fate {
	return Fate{
		Delay: serveDelay,
		Lost:  !d.healed && d.rng.Float64() < d.mix.Service,
	}
}

func (d *driver) happens(rate float64) bool { return d.rng.Float64() < rate*tick.Seconds() }

func (d *driver) fault() {
	n := d.world.Boxes()
	if d.happens(d.mix.Restarts) {
		d.world.Restart(d.rng.IntN(n))
	}
	if d.happens(d.mix.Pauses) {
		d.world.Pause(d.rng.IntN(n), time.Duration(d.rng.Int64N(int64(pauseMax))))
	}
	if d.happens(d.mix.Cuts) {
		d.cut(d.rng.IntN(n))
	}
}

// cut cuts one box off from the others, one way or both ways.
func (d *driver) cut(i int) {
	ways := d.rng.IntN(3)
	for other := range d.world.Boxes() {
		if ways != 0 {
			d.world.Cut(i, other)
		}
		if ways != 1 {
			d.world.Cut(other, i)
		}
	}
	d.world.after(time.Duration(d.rng.Int64N(int64(cutMax))), d.world.Heal)
}

// run lets worldOps callers begin over worldTime, then heals all faults and lets
// them end.
func (d *driver) run() {
	perTick := float64(worldOps) * tick.Seconds() / worldTime.Seconds()
	begun := 0.0
	started := 0
	for t := 3 * heartbeatEvery; len(d.world.Ops()) < worldOps; t += tick {
		d.world.RunUntil(t)
		d.fault()
		for begun += perTick; begun >= 1 && started < worldOps; begun-- {
			started++
			d.world.after(time.Duration(d.rng.Int64N(int64(tick))), func() { d.world.Begin() })
		}
	}
	d.world.Heal()
	d.healed = true
	d.world.RunUntil(d.world.Now() + tailTime)
}

// Measure runs ops callers of one variant under one mix of faults.
func Measure(v Variant, mix Mix, ops int, seed uint64) (Row, error) {
	row := Row{
		Variant: v,
		Faults:  mix.Name,
		Seed:    seed,
	}
	added := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	var unknown, notRun, answered, bytes int
	for i := uint64(0); row.Ops < ops; i++ {
		d := newDriver(v, mix, seed<<32+i)
		d.run()
		for _, op := range d.world.Ops() {
			row.count(op)
			switch op.told {
			case wire.RanUnknown:
				unknown++
			case wire.RanNotRun:
				notRun++
			case wire.RanRan:
				answered++
				if err := added.RecordValue((op.ended - op.begun - op.thought - 2*serveDelay).Microseconds()); err != nil {
					return row, errors.Wrap(err, "histogram")
				}
			}
		}
		bytes += d.world.bytes
	}
	n := float64(row.Ops)
	row.UnknownShare = float64(unknown) / n
	row.NotRunShare = float64(notRun) / n
	row.AnsweredShare = float64(answered) / n
	row.BytesPerOp = float64(bytes) / n
	row.P50 = float64(added.ValueAtQuantile(50)) / 1000
	row.P99 = float64(added.ValueAtQuantile(99)) / 1000
	return row, nil
}

func (r *Row) count(op *Op) {
	r.Ops++
	if op.ran > 1 {
		r.RanTwice++
	}
	if op.told == wire.RanNotRun && op.ran > 0 {
		r.NotRunButRan++
	}
	if op.crossed {
		r.Crossed++
	}
}
