// Package control measures what the system costs beside its callers' requests:
// how fast a bundle is in force, and bytes, processor time and memory of control.
// It runs real boxes over real sockets on loopback, all in this process.
package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/config"
	"github.com/havenrudder/havenrudder/internal/site"
	"github.com/havenrudder/havenrudder/wire"
)

// The size to design for, from the users' letter.
const (
	Organisations  = 600
	Services       = 5
	ChangesPerDay  = 21_000
	perDomain      = 14 // boxes of a failure domain: 390 in 28
	domainsARegion = 3
	startBound     = 90 * time.Second
	settleTime     = 5 * time.Second
	pollEvery      = 10 * time.Millisecond
	waitBound      = 30 * time.Second // of one change to be in force everywhere
)

// ChangeRate is the rate of changes to design for, a second.
const ChangeRate = ChangesPerDay / 86_400.0

// Variant is a way to bring bundles to boxes.
type Variant struct {
	Name     string
	watchers int
}

// Variants returns ours and the baseline.
func Variants() []Variant {
	return []Variant{
		{Name: "havenrudder", watchers: 2},
		{Name: "every_box_watches", watchers: 16},
	}
}

// BundleRow is one line of the measurement.
type BundleRow struct {
	Boxes      int                `json:"boxes"`
	Changes    int                `json:"changes"`
	Touch      int                `json:"organisations_touched"`
	Seed       uint64             `json:"seed"`
	Variant    string             `json:"variant"`
	P50        float64            `json:"in_force_p50_s"`
	Max        float64            `json:"in_force_max_s"`
	Reads      float64            `json:"platform_reads_per_s"`
	Bytes      float64            `json:"bytes_per_s_per_box"`
	ByKind     map[string]float64 `json:"bytes_per_s_per_box_by_kind"`
	CPU        float64            `json:"cpu_share_per_box"`
	Memory     float64            `json:"memory_mb_per_box"`
	Reverts    int                `json:"reverts"`
	StartReads float64            `json:"platform_reads_per_box_to_start"`
	MissingAt  int                `json:"not_in_force"` // pairs of box and change not in force within 30 s
}

// Options say what to measure.
type Options struct {
	Boxes   int
	Changes int
	Rate    float64 // changes a second
	Touch   int     // organisations that each change touches
	Seed    uint64
}

// Bundle publishes changes of one organisation each and follows them to every
// box.
func Bundle(ctx context.Context, v Variant, o Options) (BundleRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := makeBundle(o.Boxes)
	s, err := startSite(ctx, b, o.Boxes, v)
	if err != nil {
		return BundleRow{}, err
	}
	sleep.For(ctx, settleTime)
	started := float64(s.Platform().Calls()) / float64(o.Boxes)
	m := newMeter(s)
	f := &follower{
		site:  s,
		seen:  make(map[string]int),
		times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	for i := range o.Changes {
		began := time.Now()
		b.Version++
		for _, n := range rng.Perm(len(b.Organisations))[:o.Touch] {
			b.Organisations[n].Share = float64(1+i%9) / 10
		}
		if err := f.publish(ctx, b); err != nil {
			return BundleRow{}, err
		}
		sleep.For(ctx, time.Duration(float64(time.Second)/o.Rate)-time.Since(began))
	}
	row := BundleRow{
		Boxes:      o.Boxes,
		Changes:    o.Changes,
		Touch:      o.Touch,
		Seed:       o.Seed,
		Variant:    v.Name,
		P50:        float64(f.times.ValueAtQuantile(50)) / 1e6,
		Max:        float64(f.times.Max()) / 1e6,
		Reverts:    f.reverts,
		StartReads: started,
		MissingAt:  f.missing,
	}
	return row, m.fill(&row)
}

// follower watches which version each box has in force.
type follower struct {
	site    *site.Site
	seen    map[string]int
	times   *hdrhistogram.Histogram
	reverts int
	missing int
}

// publish publishes b and waits until every box has it in force.
func (f *follower) publish(ctx context.Context, b wire.Bundle) error {
	if err := f.site.Publish(b); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < waitBound && ctx.Err() == nil {
		missing, err := f.look(b.Version, time.Since(began))
		if err != nil || missing == 0 {
			return err
		}
		f.missing = missing
		sleep.For(ctx, pollEvery)
	}
	return errors.Newf("version %d is not in force on %d boxes", b.Version, f.missing)
}

func (f *follower) look(version int, took time.Duration) (missing int, err error) {
	for name, b := range f.site.Boxes() {
		now := b.InForce()
		if now < f.seen[name] {
			f.reverts++
		}
		if now >= version && f.seen[name] < version {
			err = errors.Join(err, f.times.RecordValue(took.Microseconds()))
		}
		if now < version {
			missing++
		}
		f.seen[name] = now
	}
	f.missing = missing
	return missing, err
}

func domains(boxes int) int { return (boxes + perDomain - 1) / perDomain }

// makeBundle returns a bundle of the size to design for, with as many failure
// domains as the boxes need.
func makeBundle(boxes int) wire.Bundle {
	b := wire.Bundle{
		Version: 1,
		Priorities: []wire.Priority{
			{Name: "high", ReservedShare: 0.1},
			{Name: "low", Rank: 1},
		},
	}
	var names []string
	for d := range domains(boxes) {
		if d%domainsARegion == 0 {
			name := fmt.Sprintf("region-%d", d/domainsARegion)
			names = append(names, name)
			b.Regions = append(b.Regions, wire.Region{
				Name: name,
			})
		}
		last := &b.Regions[len(b.Regions)-1]
		last.FailureDomains = append(last.FailureDomains, fmt.Sprintf("domain-%d", d))
	}
	for i := range Services {
		b.Services = append(b.Services, wire.Service{
			Name:         fmt.Sprintf("service-%d", i),
			Kind:         wire.ServiceKindEngine,
			Model:        fmt.Sprintf("model-%d", i),
			Regions:      names,
			DeadlineMs:   30_000,
			FirstTokenMs: 1900,
			InFlight:     24,
		})
	}
	for i := range Organisations {
		b.Organisations = append(b.Organisations, wire.Organisation{
			Name:     fmt.Sprintf("organisation-%d", i),
			Home:     names[i%len(names)],
			Regions:  names,
			Priority: "low",
			Share:    1,
		})
	}
	return b
}

func startSite(ctx context.Context, b wire.Bundle, boxes int, v Variant) (*site.Site, error) {
	plan := site.Plan{
		Bundle: b,
		Log:    quietLog(),
	}
	for i := range boxes {
		s, err := settings(b, i, v)
		if err != nil {
			return nil, err
		}
		plan.Settings = append(plan.Settings, s)
	}
	start, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	return site.StartWithin(ctx, start, plan)
}

func quietLog() *logrus.Entry {
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(quiet)
}

func settings(b wire.Bundle, i int, v Variant) (wire.Settings, error) {
	domain := fmt.Sprintf("domain-%d", i/perDomain)
	text := fmt.Sprintf(`{
		"box": "box-%d", "region": %q, "failure_domain": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
		"platform": {"urls": ["http://127.0.0.1:1"], "watchers": %d},
		"keys": [{"id": "k", "public": "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="}]
	}`, i, regionOf(b, domain), domain, v.watchers)
	return config.ParseSettings("measured", []byte(text))
}

func regionOf(b wire.Bundle, domain string) string {
	for _, r := range b.Regions {
		for _, d := range r.FailureDomains {
			if d == domain {
				return r.Name
			}
		}
	}
	return ""
}

// meter reads what control costs from its making on.
type meter struct {
	site  *site.Site
	began time.Time
	cpu   time.Duration
	calls int
	bytes map[string]float64
}

func newMeter(s *site.Site) *meter {
	m := &meter{
		site:  s,
		began: time.Now(),
		cpu:   cpuTime(),
		calls: s.Platform().Calls(),
	}
	m.bytes, _ = m.total()
	return m
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// total returns the bytes of all boxes by kind.
func (m *meter) total() (map[string]float64, error) {
	out := make(map[string]float64)
	for _, b := range m.site.Boxes() {
		one, err := b.ControlBytes()
		if err != nil {
			return nil, err
		}
		for kind, n := range one {
			out[kind] += n
		}
	}
	return out, nil
}

func (m *meter) fill(row *BundleRow) error {
	now, err := m.total()
	if err != nil {
		return err
	}
	took := time.Since(m.began).Seconds()
	n := float64(row.Boxes)
	row.ByKind = make(map[string]float64)
	for kind, bytes := range now {
		row.ByKind[kind] = math.Round((bytes - m.bytes[kind]) / took / n)
		row.Bytes += row.ByKind[kind]
	}
	row.CPU = (cpuTime() - m.cpu).Seconds() / took / n
	row.Reads = float64(m.site.Platform().Calls()-m.calls) / took
	row.Memory = inUse() / 1e6 / n
	return nil
}

// inUse returns the bytes of heap and stacks in use.
func inUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
