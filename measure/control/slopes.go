package control

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

// Slope is how much one more of something costs.
type Slope struct {
	Name   string  `json:"slope"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`  // median of the runs
	Low    float64 `json:"low"`    // least of the runs
	High   float64 `json:"high"`   // greatest of the runs
	From   float64 `json:"from"`   // lower end of what was measured
	To     float64 `json:"to"`     // upper end
	Of     string  `json:"of"`     // what From and To count
	Method string  `json:"method"` // how it was measured
}

// Runs is how often each slope is measured.
const Runs = 3

// sampler measures one slope once.
type sampler struct {
	name   string
	unit   string
	of     string
	from   float64
	to     float64
	method string
	once   func(ctx context.Context) (float64, error)
}

// Slopes measures every slope, or the one that only names, and hands each on as
// it is done.
func Slopes(ctx context.Context, only string, done func(Slope) error) error {
	for _, s := range slices.Concat(pureSlopes(), relaySlopes(), fleetSlopes()) {
		if only != "" && only != s.name {
			continue
		}
		slope, err := s.measure(ctx)
		if err != nil {
			return errors.Wrap(err, s.name)
		}
		if err := done(slope); err != nil {
			return err
		}
	}
	return nil
}

func (s sampler) measure(ctx context.Context) (Slope, error) {
	var values []float64
	for range Runs {
		v, err := s.once(ctx)
		if err != nil {
			return Slope{}, err
		}
		values = append(values, round(v))
	}
	slices.Sort(values)
	return Slope{
		Name:   s.name,
		Unit:   s.unit,
		Value:  values[len(values)/2],
		Low:    values[0],
		High:   values[len(values)-1],
		From:   s.from,
		To:     s.to,
		Of:     s.of,
		Method: s.method,
	}, nil
}

// round keeps three digits: more would claim what was not measured.
func round(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// heap returns the live heap.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// perOp returns the processor time of one run of f, in microseconds.
func perOp(n int, f func(i int)) float64 {
	began := cpuTime()
	for i := range n {
		f(i)
	}
	return float64((cpuTime() - began).Microseconds()) / float64(n)
}

// slope returns the rise of f between two points, for each step.
func slope(from, to int, f func(n int) float64) float64 {
	low := f(from)
	return (f(to) - low) / float64(to-from)
}

func name(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

// idle is how long a site without callers is watched.
const idle = 12 * time.Second

// fleetSlopes are measured on running boxes without callers.
func fleetSlopes() []sampler {
	return []sampler{
		{
			name:   "heartbeat_cpu",
			unit:   "microseconds of processor a heartbeat, sent and heard",
			of:     "heartbeats",
			from:   0,
			to:     sentHeartbeats,
			method: "heartbeats sent over a socket to a running box, in a row",
			once:   heartbeatCPU,
		},
		{
			name:   "box_heap",
			unit:   "bytes of heap and stacks a box without callers",
			of:     "boxes",
			from:   8,
			to:     28,
			method: "running boxes, the platform's stand-in and its connections included",
			once:   boxHeap,
		},
	}
}

// idleSite runs so many boxes of one or more domains and returns their meter
// after a while.
func idleSite(ctx context.Context, boxes int) (BundleRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startSite(ctx, makeBundle(boxes), boxes, Variants()[0])
	if err != nil {
		return BundleRow{}, err
	}
	sleep.For(ctx, settleTime)
	m := newMeter(s)
	sleep.For(ctx, idle)
	row := BundleRow{
		Boxes: boxes,
	}
	return row, m.fill(&row)
}

const sentHeartbeats = 20_000

// heartbeatCPU returns the processor time of one heartbeat, from its sender to
// the view of the box that hears it. Two domains of different size don't show it:
// from six boxes on, each sends as many a second, and the difference is noise.
func heartbeatCPU(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startSite(ctx, makeBundle(1), 1, Variants()[0])
	if err != nil {
		return 0, err
	}
	addr := s.Box("box-0").Addrs().Peers
	dialer := &net.Dialer{}
	p := peer.NewPool(ctx, dialer.DialContext, func(peer.Method, int) {})
	var sendErr error
	took := perOp(sentHeartbeats, func(i int) {
		sendErr = errors.Join(sendErr, p.Notify(ctx, addr, peer.Heartbeat, wire.Heartbeat{
			Box:     "box-1",
			Inc:     1,
			Seq:     i + 1,
			Version: 1,
			ClockMs: i,
		}))
	})
	return took, sendErr
}

func boxHeap(ctx context.Context) (float64, error) {
	few, err := idleSite(ctx, 8)
	if err != nil {
		return 0, err
	}
	many, err := idleSite(ctx, 28)
	if err != nil {
		return 0, err
	}
	return 1e6 * (many.Memory*28 - few.Memory*8) / 20, nil
}
