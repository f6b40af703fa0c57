package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/lease"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/queue"
)

// Dump is the state of a box, for operators.
type Dump struct {
	Box          string        `json:"box"`
	Region       string        `json:"region"`
	Domain       string        `json:"failure_domain"`
	UptimeS      float64       `json:"uptime_s"`
	Leaving      bool          `json:"leaving"`
	Policy       int           `json:"policy_version"`
	Revision     int64         `json:"catalog_revision"`
	CatalogAgeS  float64       `json:"catalog_age_s"`
	LeaseAgeS    float64       `json:"lease_age_s"`   // since the policy was confirmed as the newest; below 0 for never
	IsFollower   bool          `json:"follows"`       // other boxes watch the catalog on behalf of this one
	Active       bool          `json:"takes_callers"` // active; a region of many boxes has standby boxes
	SharingBoxes int           `json:"sharing_boxes"` // boxes that share the region's quotas; 0 until all are recorded
	Evacuated    []string      `json:"closed_failure_domains"`
	Boxes        []BoxDump     `json:"boxes"`
	Replicas     []ReplicaDump `json:"replicas"`
	Retries      []RetryDump   `json:"retries_left"`
	Poison       []PoisonDump  `json:"requests_that_end_replicas"`
	Credit       []CreditDump  `json:"credit"`
	Queues       []QueueDump   `json:"queues"`
	Shares       []ShareDump   `json:"shares"`
}

// QueueDump is the queue of the requests that wait for capacity of a service.
type QueueDump struct {
	Service string           `json:"service"`
	Slots   float64          `json:"slots"` // that this box is expected to use at once, by which waits are estimated
	Levels  []QueueLevelDump `json:"levels"`
}

// QueueLevelDump is the requests of one urgency that wait.
type QueueLevelDump struct {
	Level    int     `json:"level"`
	Waiting  int     `json:"waiting"`
	Flows    int     `json:"flows"`     // organisations, or routes, that they belong to
	CostS    float64 `json:"cost_s"`    // time for which they will occupy slots
	OldestMs int64   `json:"oldest_ms"` // the longest wait so far
}

// ShareDump is what this box may have in flight in its region for a service whose requests compete.
type ShareDump struct {
	Service   string  `json:"service"`
	Requests  float64 `json:"requests"`  // -1 for no bound, before all boxes of the region are recorded
	InFlight  int     `json:"in_flight"` // of this box
	Capacity  float64 `json:"capacity"`  // of the region's usable replicas, in requests
	Contended bool    `json:"contended"` // its boxes ask for more than the replicas take, six fifths of that; Requests binds only then
}

// CreditDump is the credit that this box holds of an organisation's quota.
type CreditDump struct {
	Organisation string  `json:"organisation"`
	Units        float64 `json:"units"`
}

// PoisonDump is the record of a request, or of a part of prompts, under which replicas crashed.
type PoisonDump struct {
	Digest          string  `json:"digest"`
	Part            bool    `json:"part,omitempty"`           // it is of a part
	Crashes         int     `json:"ends"`                     // crashes of replicas since its last complete response
	OnTrial         bool    `json:"on_trial,omitempty"`       // runs one at a time until it is known whether replicas survive it
	QuarantinedForS float64 `json:"quarantined_for_s"`        // remaining time of its quarantine; 0 for a suspect
	AnsweredS       float64 `json:"answered_ago_s,omitempty"` // since a replica last survived it; 0 for never
}

// BoxDump is the record of another box.
type BoxDump struct {
	Box    string  `json:"box"`
	Region string  `json:"region"`
	State  string  `json:"state"`
	Alive  bool    `json:"alive"`
	AgeS   float64 `json:"age_s"`
}

// ReplicaDump is the record of a replica.
type ReplicaDump struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Addr        string  `json:"addr"`
	Leaving     bool    `json:"leaving"`
	Cold        bool    `json:"cold"`
	Ejected     bool    `json:"out_of_reach"`
	OwnRequests int     `json:"own_requests"`
	AllRequests int     `json:"all_requests"`
	Tokens      int     `json:"tokens"`
	Unread      int     `json:"unread_tokens"`
	Failing     float64 `json:"failing"`
	Slow        float64 `json:"slow"`         // as speed, at least 1
	Speed       float64 `json:"speed"`        // time that work takes there, over the time expected at the same load
	SpeedSource string  `json:"speed_source"` // mean (of the service), requests or reports
	SpeedAgeMs  int64   `json:"speed_age_ms,omitempty"`
	ReportAgeMs int64   `json:"word_age_ms,omitempty"` // of its last load report, where boxes use these
	Revision    int64   `json:"revision"`
	Unusable    string  `json:"unusable,omitempty"` // why it receives no requests

	Limit      *float64 `json:"limit_per_s,omitempty"`  // requests per second that it names in its answers; nil for none
	LimitAgeMs int64    `json:"limit_age_ms,omitempty"` // since its last answer with that limit

	SaysLeaving  bool    `json:"says_leaving,omitempty"`   // it has reported in an answer that it leaves
	DeferredForS float64 `json:"deferred_for_s,omitempty"` // for which it wants no requests of this box
}

// RetryDump is the remaining retry budget of a service.
type RetryDump struct {
	Service string  `json:"service"`
	Left    float64 `json:"left"`
}

// Dump returns the state of the box.
func (n *Node) Dump() Dump {
	d := Dump{
		Box:         n.settings.Box,
		Region:      n.settings.Region,
		Domain:      n.settings.Domain,
		UptimeS:     n.now().Seconds(),
		Leaving:     n.leaving.Load(),
		CatalogAgeS: n.catalogAge().Seconds(),
		LeaseAgeS:   -1,
		IsFollower:  n.isFollower.Load(),
	}
	if age := n.leaseAge(); age != lease.Never {
		d.LeaseAgeS = age.Seconds()
	}
	held := n.quotas.credits.Balances()
	for _, name := range slices.Sorted(maps.Keys(held)) {
		d.Credit = append(d.Credit, CreditDump{
			Organisation: name,
			Units:        held[name],
		})
	}
	_ = n.state.Do(func(s *state) { s.fillDump(&d, n.now()) }) // it fails only when the box has ended
	return d
}

func (s *state) fillDump(d *Dump, now time.Duration) {
	d.Revision = s.content.NewestRevision()
	d.SharingBoxes = len(s.sharers(now))
	d.Active = s.active[s.settings.Region].has(s.settings.Box)
	d.Evacuated = s.content.Evacuated()
	for m := range s.roster.All() {
		d.Boxes = append(d.Boxes, BoxDump{
			Box:    m.Status.Box,
			Region: m.Status.Region,
			State:  string(m.State()),
			Alive:  s.roster.Alive(m.Status.Box, now),
			AgeS:   (now - m.LastHeartbeat).Seconds(),
		})
	}
	for _, r := range s.view.Replicas() {
		all := s.view.Load(r, now)
		pace := s.view.Speed(r, now)
		out := ReplicaDump{
			ID:           r.Incarnation(),
			Service:      r.Info().Service,
			Addr:         r.Info().Addr,
			Leaving:      r.Info().Leaving,
			Cold:         s.view.Pacer().IsCold(r.ID(), now),
			Ejected:      r.Ejected(now),
			OwnRequests:  r.Own().Requests,
			AllRequests:  all.Requests,
			Tokens:       all.Tokens,
			Unread:       all.PendingPrefill,
			Failing:      r.FailureShare(now),
			Slow:         r.Slowness(now),
			Speed:        pace.Ratio,
			SpeedSource:  string(pace.Source),
			SpeedAgeMs:   pace.Age.Milliseconds(),
			ReportAgeMs:  max(0, r.ReportAge(now).Milliseconds()),
			Revision:     r.Info().Revision,
			Unusable:     string(s.view.Unusable(r, now)),
			SaysLeaving:  r.SaysLeaving(),
			DeferredForS: r.RetryWait(now).Seconds(),
		}
		if l := r.Limit(); l.Named {
			out.Limit = &l.PerSecond
			out.LimitAgeMs = r.LimitAge(now).Milliseconds()
		}
		d.Replicas = append(d.Replicas, out)
	}
	d.Poison = s.dumpPoison(now)
	d.Queues = s.dumpQueues(now)
	d.Shares = s.dumpShares(now)
	if s.table == nil {
		return
	}
	d.Policy = s.table.Version()
	for _, svc := range s.table.Policy().Services {
		d.Retries = append(d.Retries, RetryDump{
			Service: svc.Name,
			Left:    s.budget.Remaining(svc.Name, s.retryBoxes(now), now),
		})
	}
}

// dumpQueues returns the queues of the services whose requests compete, by service.
func (s *state) dumpQueues(now time.Duration) []QueueDump {
	var out []QueueDump
	for _, service := range slices.Sorted(maps.Keys(s.waiting.queues)) {
		q := s.waiting.queues[service]
		d := QueueDump{
			Service: service,
			Slots:   q.rate,
		}
		for level := range queue.MaxLevels {
			n, cost, flows := q.Waiting(level)
			if n == 0 {
				continue
			}
			d.Levels = append(d.Levels, QueueLevelDump{
				Level:    level,
				Waiting:  n,
				Flows:    flows,
				CostS:    cost.Seconds(),
				OldestMs: q.oldest(level, now).Milliseconds(),
			})
		}
		out = append(out, d)
	}
	return out
}

// oldest returns the longest wait so far of a request of a level.
func (q *serviceQueue) oldest(level int, now time.Duration) (out time.Duration) {
	for e, w := range q.waiters {
		if min(max(e.Level, 0), queue.MaxLevels-1) == level {
			out = max(out, now-w.since)
		}
	}
	return out
}

// dumpPoison returns the records of requests and parts under which replicas crashed, by digest.
func (s *state) dumpPoison(now time.Duration) []PoisonDump {
	var out []PoisonDump
	for _, r := range s.poison.Published() {
		p := dumpRecord(r, now)
		left, _ := s.poison.Quarantined(r.Digest, now)
		p.OnTrial = s.poison.OnTrial(r.Digest, now)
		p.QuarantinedForS = max(left, 0).Seconds()
		out = append(out, p)
	}
	for _, r := range s.poison.PublishedParts() {
		p := dumpRecord(r, now)
		p.Part = true
		p.QuarantinedForS = s.poison.PartLeft(r.Digest, now).Seconds()
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b PoisonDump) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// dumpRecord returns what requests and parts have in common.
func dumpRecord(r *poison.Record, now time.Duration) PoisonDump {
	p := PoisonDump{
		Digest:  r.Digest.String(),
		Crashes: len(r.Crashes),
	}
	if ago, ok := r.SinceSurvived(now); ok {
		p.AnsweredS = ago.Seconds()
	}
	return p
}
