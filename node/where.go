package node

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

// Where is where a box would send a request now, and why. Times are in milliseconds, ages are negative
// where nothing is known.
type Where struct {
	Box           string         `json:"box"`
	Region        string         `json:"region"`
	PolicyVersion int            `json:"policy_version"`
	Route         string         `json:"route"`
	Service       string         `json:"service"`
	Organisation  string         `json:"organisation,omitempty"`
	Urgency       int            `json:"urgency"`                // 0 is the most urgent
	Target        string         `json:"target,omitempty"`       // incarnation of the replica; empty for none in this region
	Reason        string         `json:"reason,omitempty"`       // why there is none
	RetryAfterMs  int64          `json:"retry_after_ms"`         // when there may be one
	Waiting       int            `json:"waiting"`                // requests that wait for the service's capacity at this box
	ExpectWaitMs  int64          `json:"expect_wait_ms"`         // wait that is expected behind those of them that precede it
	HomeRegion    string         `json:"home_region,omitempty"`  // that caches the shared segments
	OtherRegion   string         `json:"other_region,omitempty"` // best of the others
	OtherShare    float64        `json:"other_share"`            // probability of sending the request there
	ExpectedLoss  float64        `json:"expected_loss"`          // in this region, in thousandths of the answer's value; 0 if no other one is compared
	Regions       []WhereRegion  `json:"regions"`                // others that may serve it
	Replicas      []WhereReplica `json:"replicas"`               // of this region, by incarnation
}

// UnmarshalJSON decodes an answer and checks it.
func (w *Where) UnmarshalJSON(data []byte) error {
	type plain Where
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*w = Where(v)
	if w.Box == "" || w.Route == "" || w.Service == "" {
		return errors.New("box, route and service are needed")
	}
	return nil
}

// WhereRegion is what a request is expected to meet in another region.
type WhereRegion struct {
	Region       string  `json:"region"`
	ExpectedLoss float64 `json:"expected_loss"`
	ExpectMs     int64   `json:"expect_ms"` // until the first byte there, without the way
	Usable       int     `json:"usable"`    // replicas
	Failing      float64 `json:"failing"`   // share of the requests that this box sent there
	AgeMs        int64   `json:"age_ms"`    // of the region's report
}

// WhereReplica is what a request is expected to meet at a replica.
type WhereReplica struct {
	Replica     string  `json:"replica"` // incarnation
	Domain      string  `json:"domain"`
	Reason      string  `json:"reason,omitempty"` // against it; empty for the target
	WaitMs      int64   `json:"wait_ms"`          // until the reason may be gone
	CostMs      float64 `json:"cost_ms"`          // own time of the request and what it costs others
	ExpectMs    float64 `json:"expect_ms"`        // until the first byte
	Missing     int     `json:"missing"`          // shared tokens to prefill
	Preferred   bool    `json:"preferred"`        // most likely has the shared segments cached
	Requests    int     `json:"requests"`         // in flight of all boxes, as recorded
	Tokens      int     `json:"tokens"`           // of its memory
	Failing     float64 `json:"failing"`          // recent share of failures
	Slow        float64 `json:"slow"`             // actual over expected time to the first byte
	ReportAgeMs int64   `json:"report_age_ms"`    // of its load report
	SeenAgeMs   int64   `json:"seen_age_ms"`      // of the last bytes received from it
}

// Errors of a question that can't be answered.
var (
	errNotReady            = errors.New("the box has no policy yet, or is about to end")
	errUnknownRoute        = errors.New("no route of this name")
	errUnknownOrganisation = errors.New("no organisation of this name")
	errNoOrganisation      = errors.New("the route needs the key of an organisation")
)

// where returns where a request would go now. Nothing is sent, reserved or counted.
func (n *Node) where(q whereQuery) (out Where, err error) {
	table := n.table.Load()
	if table == nil || !n.isReady() {
		return out, errNotReady
	}
	route := routeNamed(table, q.route)
	if route == nil {
		return out, errUnknownRoute
	}
	org := table.OrganisationOf(q.organisation)
	switch {
	case q.organisation != "" && org == nil:
		return out, errUnknownOrganisation
	case org == nil && table.Keyed() && !route.Public:
		return out, errNoOrganisation
	}
	ask := q.targetQuery(table, route, org)
	if err := n.state.Do(func(s *state) { out = s.where(ask, n.now()) }); err != nil {
		return out, errNotReady
	}
	out.PolicyVersion = table.Version()
	out.Organisation = q.organisation
	out.Urgency = table.Urgency(ask.Request.Service, route.Priority, org)
	return out, nil
}

func routeNamed(table *catalog.Table, name string) *catalog.Route {
	routes := table.Policy().Routes
	for i := range routes {
		if routes[i].Name == name {
			return &routes[i]
		}
	}
	return nil
}

// targetQuery returns the query of a request that has just arrived.
func (q whereQuery) targetQuery(table *catalog.Table, route *catalog.Route, org *catalog.Organisation) ingress.TargetQuery {
	service := route.Service(q.request)
	return ingress.TargetQuery{
		Request: placement.Request{
			Service:   service,
			Key:       q.request,
			Segments:  q.segments,
			Prompt:    q.tokens,
			GapTarget: route.GapTarget.Duration(),
			Rank:      table.Rank(service, route.Priority, org),
		},
		MayWait:       true,
		Level:         table.Urgency(service, route.Priority, org),
		Flow:          cmp.Or(q.organisation, route.Name),
		Route:         route.ForOrganisation(org),
		TimeLeft:      cmp.Or(q.deadline, route.Timeout.Duration()),
		LatencyTarget: route.LatencyTarget.Duration(),
	}
}

// where is Node.where for a query. It changes no state.
func (s *state) where(ask ingress.TargetQuery, now time.Duration) Where {
	ask.Request.StepsPerEvent = s.view.StepsPerEvent(ask.Request.Service)
	sharers := s.sharers(now)
	var local localProspect
	q, waits := s.waiting.queues[ask.Request.Service]
	waits = waits && s.waitsInOrder(&ask)
	if waits {
		local.wait = q.ExpectedWait(s.newEntry(&ask, now), now)
	}
	regions := s.compareRegions(ask, local, sharers, now)
	replicas, choice := s.view.Assess(ask.Request, sharers, now)
	out := Where{
		Box:          s.settings.Box,
		Region:       s.settings.Region,
		Route:        ask.Route.Name,
		Service:      ask.Request.Service,
		Target:       choice.Incarnation,
		Reason:       string(choice.Reason),
		RetryAfterMs: choice.Wait.Milliseconds(),
		HomeRegion:   regions.home,
		OtherRegion:  regions.best.region,
		OtherShare:   regions.weighing.Share,
		ExpectedLoss: regions.loss,
		Regions:      []WhereRegion{},
		Replicas:     []WhereReplica{},
	}
	if waits {
		out.Waiting = q.Len()
		out.ExpectWaitMs = local.wait.Milliseconds()
	}
	if !regions.allowed {
		out.Target = ""
		out.Reason = reasonOtherRegion
		out.RetryAfterMs = 0
	}
	for _, o := range regions.others {
		out.Regions = append(out.Regions, s.whereRegion(o, now))
	}
	for _, a := range replicas {
		if !regions.allowed {
			a.Reason = reasonOtherRegion
		}
		out.Replicas = append(out.Replicas, whereReplica(a, now))
	}
	return out
}

const reasonOtherRegion = "its data may not enter this region"

func (s *state) whereRegion(o remoteRegion, now time.Duration) WhereRegion {
	failures := s.regionFailures[o.region]
	return WhereRegion{
		Region:       o.region,
		ExpectedLoss: o.loss,
		ExpectMs:     o.estimate.Expect.Milliseconds(),
		Usable:       o.estimate.Usable,
		Failing:      failures.Share(now),
		AgeMs:        o.estimate.AgeMs,
	}
}

func whereReplica(a placement.Assessment, now time.Duration) WhereReplica {
	return WhereReplica{
		Replica:     a.Replica.Incarnation(),
		Domain:      a.Replica.Info().Domain,
		Reason:      string(a.Reason),
		WaitMs:      a.Wait.Milliseconds(),
		CostMs:      milliseconds(a.Cost),
		ExpectMs:    milliseconds(a.Expect),
		Missing:     a.Missing,
		Preferred:   a.Preferred,
		Requests:    a.Load.Requests,
		Tokens:      a.Load.Tokens,
		Failing:     a.Replica.FailureShare(now),
		Slow:        a.Replica.Slowness(now),
		ReportAgeMs: ageMillis(a.Replica.ReportAge(now)),
		SeenAgeMs:   ageMillis(a.Replica.LastSeenAge(now)),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ageMillis returns an age in milliseconds, -1 for a negative one.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
