package box

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/upstream"
)

// Dump is the state of a box, for operators. It holds no secrets and no text of
// callers.
type Dump struct {
	Box      string         `json:"box"`
	Region   string         `json:"region"`
	Domain   string         `json:"failure_domain"`
	Inc      int            `json:"incarnation"`
	UptimeS  float64        `json:"uptime_s"`
	State    string         `json:"state"`
	Bundle   BundleDump     `json:"bundle"`
	Platform PlatformDump   `json:"platform"`
	Lists    []ListDump     `json:"lists"`
	Peers    []PeerDump     `json:"peers"`
	Replicas []ReplicaDump  `json:"upstreams"`
	Services map[string]int `json:"services"`
	Waiting  int            `json:"waiting"` // requests that wait for capacity
	Tickets  TicketDump     `json:"tickets"`
}

// BundleDump is what a box knows of bundles.
type BundleDump struct {
	Version int     `json:"version"`
	Key     string  `json:"key"`
	Floor   int     `json:"floor"`
	AgeS    float64 `json:"age_s"`
	Refused int     `json:"refused"`
	Old     int     `json:"old"`
}

// PlatformDump is how a box stands to the platform.
type PlatformDump struct {
	Blind   bool     `json:"blind"`
	Watches []string `json:"watches"`
}

// ListDump is a list with its age.
type ListDump struct {
	Domain string  `json:"failure_domain"`
	Index  int     `json:"index"`
	AgeS   float64 `json:"age_s"`
}

// PeerDump is what a box believes of another.
type PeerDump struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`
	Alive   bool    `json:"alive"`
	Listed  bool    `json:"listed"`
	Inc     int     `json:"incarnation"`
	Version int     `json:"version"`
	AgeS    float64 `json:"age_s"`
}

// ReplicaDump is what a box believes of an upstream.
type ReplicaDump struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Domain   string  `json:"failure_domain"`
	Slots    int     `json:"slots"`
	Load     int     `json:"load"`
	InFlight int     `json:"in_flight"`
	Leaving  bool    `json:"leaving"`
	Out      bool    `json:"out"`
	Slow     float64 `json:"slow"`
	HoldMs   float64 `json:"hold_ms"`
	AgeS     float64 `json:"age_s"` // -1 when it never told its load
}

// TicketDump is what a box holds of tickets.
type TicketDump struct {
	Owned       map[string]int `json:"owned"` // by state
	AnswerBytes int            `json:"answer_bytes"`
	Witnessed   int            `json:"witnessed"`
}

func (b *Box) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(b.Dump())
}

// Dump returns the state of the box.
func (b *Box) Dump() Dump {
	d := Dump{
		Box:     b.settings.Box,
		Region:  b.settings.Region,
		Domain:  b.settings.FailureDomain,
		Inc:     b.inc,
		UptimeS: b.now().Seconds(),
		State:   b.state(),
		Platform: PlatformDump{
			Blind:   b.watch.blind(),
			Watches: b.watch.names(),
		},
	}
	_ = b.bundles.Do(func(s *bundleState) { d.Bundle = s.dump(b.now()) })
	_ = b.fleet.Do(func(f *fleet.Fleet) { d.addFleet(f, b.now()) })
	_ = b.tickets.Do(func(s *ticketState) {
		_, bytes := s.owner.Len()
		d.Tickets = TicketDump{
			Owned:       s.owner.Counts(),
			AnswerBytes: bytes,
			Witnessed:   s.witness.Len(),
		}
	})
	return d
}

func (b *Box) state() string {
	switch {
	case b.leaving.Load():
		return "leaving"
	case b.policy.Load() == nil:
		return "starting"
	}
	return "serving"
}

func (s *bundleState) dump(now time.Duration) BundleDump {
	h := s.store.Head()
	return BundleDump{
		Version: h.Version,
		Key:     h.Key,
		Floor:   s.store.Floor(),
		AgeS:    (now - s.taken).Seconds(),
		Refused: s.refused,
		Old:     s.old,
	}
}

func (d *Dump) addFleet(f *fleet.Fleet, now time.Duration) {
	for _, l := range f.Lists() {
		d.Lists = append(d.Lists, ListDump{
			Domain: l.Domain,
			Index:  l.Index,
			AgeS:   (now - l.Taken).Seconds(),
		})
	}
	for _, m := range f.Table().Members() {
		d.Peers = append(d.Peers, PeerDump{
			Name:    m.Name,
			State:   string(m.State),
			Alive:   f.Table().Alive(m.Name, now),
			Listed:  m.Listed,
			Inc:     m.Inc,
			Version: m.Version,
			AgeS:    (now - m.Heard).Seconds(),
		})
	}
	for _, name := range f.Inventory().Names(func(*upstream.Replica) bool { return true }) {
		d.Replicas = append(d.Replicas, dumpReplica(f.Inventory().Get(name), now))
	}
	d.Services = f.InFlight()
	d.Waiting = f.WaitingRequests()
}

func dumpReplica(r *upstream.Replica, now time.Duration) ReplicaDump {
	age := -1.0
	if r.Reported > 0 {
		age = (now - r.Reported).Seconds()
	}
	return ReplicaDump{
		Name:     r.Name,
		Service:  r.Service,
		Domain:   r.Domain,
		Slots:    r.Slots,
		Load:     r.Load(now),
		InFlight: r.InFlight,
		Leaving:  r.Leaving,
		Out:      r.Out(now),
		Slow:     r.Slow(now),
		HoldMs:   float64(r.Hold.Microseconds()) / 1000,
		AgeS:     age,
	}
}
