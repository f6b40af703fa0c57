// Package ingress handles a request on its way through a box: it finds the route,
// selects a target, forwards the request and returns the response. It never presents
// a partial response as complete, and reports a request as not run only where that is
// known.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/queue"
)

// PromptSegment is a prompt segment.
type PromptSegment = placement.Segment

// Facts are the properties of a caller's request that a routing decision needs.
type Facts struct {
	ID                   string
	Deadline             time.Duration // 0 if the caller sends none
	PromptTokens         int
	MaxOutputTokens      int             // maximum number of output tokens
	ExpectedOutputTokens int             // output tokens that the caller expects; 0 if unknown
	Segments             []PromptSegment // prompt segments; the last one is specific to the request
	LastEventID          string          // ID of the last event that the caller has received of an interrupted stream
	Resumes              string          // ID of the request that brought the first event of that stream; empty if the caller sends none
	Credentials          string          // credentials of the caller; empty for none
	Key                  catalog.Key     // API key of the caller
	HasKey               bool            // Key is set: the request has a well-formed key
	ExpectedReplica      string          // instance ID of the replica that the sender expects at this address; empty for none
}

// ReplicaHeaders holds the values that a replica receives besides the caller's own headers.
type ReplicaHeaders struct {
	Replica     string        // expected instance ID; a replica with another one does not run the request
	TimeLeft    time.Duration // time until the deadline
	Urgency     int           // 0 is the most urgent; negative for none
	LastEventID string        // ID of the last forwarded event, after which the stream resumes
	CopyFrom    string        // address of a replica that may have a prefix of the prompt cached; empty for none

	Organisation string // of the caller; empty where requests need no key
}

// Codec reads and writes the headers of requests and responses.
type Codec struct {
	ReadFacts           func(h http.Header) (Facts, error)
	RemoveKey           func(h http.Header) // removes the key, which neither replicas nor other boxes receive
	WriteReplicaHeaders func(h http.Header, s ReplicaHeaders)
	WriteMisdirected    func(h http.Header, id string)                             // marks an answer to the request with that ID as one by which it was not run
	MatchesRequest      func(h http.Header, id string) bool                        // reports whether a response belongs to the request with that ID
	Executed            func(status int, h http.Header) bool                       // false if the replica reports that it did not run the request
	FromReplica         func(h http.Header) bool                                   // reports whether a successful response was made by a replica
	LoadReport          func(h http.Header) (l LoadReport, ok bool, err error)     // load that the replica reports; false without a report, an error for a malformed header
	ReadSignals         func(status int, h http.Header) (placement.Signals, error) // what the replica reports of itself; an error for malformed headers
}

// LoadReport is the load that a replica reports in an answer.
type LoadReport struct {
	Requests int // that run or wait
	Waiting  int // of these, not yet running
	Pace     int // how long work takes at present, in percent of the usual time; 0 if unknown
}

// Target is the next destination of a request: a replica, a box, or none for a
// reason.
type Target struct {
	Choice     placement.Choice // Choice.Incarnation is empty if the target is a box or none
	Box        string           // box of another region
	BoxAddr    string           // address on which the box accepts requests from boxes
	Region     string
	Reason     placement.Reason // why there is no target
	RetryAfter time.Duration    // when to ask again, if known
	AgeMs      int64            // age of the recorded state of the other region

	Waited   time.Duration // for which the request waited for capacity
	Final    bool          // there is no target, and the request is not to ask again
	Entry    *queue.Entry  // place of the request among those that compete for the service; nil if it took none
	Ahead    int           // requests that preceded it on its arrival
	Expected time.Duration // wait that was expected on its arrival

	Weighing *Weighing // why the request goes to another region; nil if it stays

	asked time.Time // when the target was requested
}

func (t *Target) addr() string {
	if t.Box != "" {
		return t.BoxAddr
	}
	return t.Choice.Addr
}

// Weighing is what was weighed for a request that goes to another region. Losses and costs are in
// thousandths of its value.
type Weighing struct {
	LossHere    float64 // expected in the region of this box
	LossThere   float64 // expected in the other region
	LinkCost    float64 // cost of its bytes on the link
	CallersCost float64 // loss of the callers of the other region, whose capacity it takes
	Share       float64 // probability with which such a request goes there
	Bytes       int     // expected on the link, both ways
}

// TargetQuery is a query for a target.
type TargetQuery struct {
	Trial           *poison.Digest // set for a request on trial, which runs apart from others on trial
	Request         placement.Request
	Route           *catalog.Route
	TimeLeft        time.Duration // time until the deadline
	LatencyTarget   time.Duration // remaining part of the route's latency target
	Forwarded       bool          // the request came from another box, and is forwarded to no third one
	TriedBoxes      []string
	ExcludedRegions []string // regions that refused the request or were unreachable

	MayWait  bool         // the request may wait for capacity, in the order of the service's requests
	Level    int          // urgency, 0 is the most urgent
	Flow     string       // organisation of the caller, or else the route
	Bytes    int          // memory that the request holds while it waits
	Body     int          // bytes of its body
	Entry    *queue.Entry // from an earlier target of the request; nil for none
	Rejected []string     // replicas of Request.Tried that reported that they did not run it
}

// BuildQuery is a query for the software version at which a stream began that a caller takes up.
type BuildQuery struct {
	Route   *catalog.Route
	Service string
	Request string // ID of the request that takes it up
	Resumes string // ID of the request that brought its first event; empty if the caller does not say
}

// Hooks holds the functions by which the request path queries and reports to the rest of the box.
type Hooks struct {
	Table           func() *catalog.Table                                   // nil until a policy is known
	Uptime          func() time.Duration                                    // since the start of the box
	CatalogFresh    func(ctx context.Context) bool                          // the policy of Table was checked recently; it may be checked, and replaced, for this
	Leaving         func() bool                                             // a planned stop has begun
	Shed            func() (retryAfter time.Duration, sheds bool)           // the box lacks processor time and is to refuse a new request
	IsOwnAddress    func(replica string) bool                               // the published address of a replica is this box's own
	AcceptsStreams  func() bool                                             // a new stream has time to complete
	OtherBoxServing func() bool                                             // another box of the region is serving
	StopDeadline    func() (time.Time, bool)                                // when a planned stop ends, if one has begun
	StreamTime      func(r placement.Request) time.Duration                 // for which a stream is expected to occupy a replica
	Place           func(ctx context.Context, q TargetQuery) Target         // waits for capacity where the query and the service allow it
	StreamBegan     func(request string, build catalog.BuildID)             // a request of a caller begins a stream that can be resumed; called before its first event is forwarded
	FindBuild       func(ctx context.Context, q BuildQuery) catalog.BuildID // returns the software version at which a stream began; 0 if it is not known
	CountRequest    func(service string)                                    // a request is sent for the first time
	TakeRetry       func(service string) bool                               // takes one retry from the budget
	ReturnRetry     func(service string, taken time.Duration)               // takes back a retry that is not sent; taken is the uptime before TakeRetry
	MayWrite        func(c *placement.Choice) bool                          // the request may still be written to the replica, some time after its selection
	RequestWritten  func(c *placement.Choice)                               // the request was written to the replica some time after its selection
	HeadReceived    func(c *placement.Choice, h Head)
	DataReceived    func(c *placement.Choice)
	ProbeReplica    func(ctx context.Context, c *placement.Choice) Liveness // called when a replica has closed the connection of an answer
	IdleTime        func(c *placement.Choice, sent time.Time) time.Duration // time since the last bytes from the replica
	ReplicaSilent   func(c *placement.Choice)                               // the replica is silent, and its request keeps waiting
	PeekTarget      func(next TargetQuery) (Target, bool)                   // returns the next target without recording the request there
	LoadReported    func(c *placement.Choice, l LoadReport)                 // the replica reports its load, which includes this request
	MalformedHeader func(c *placement.Choice, err error)                    // an answer of the replica has a malformed header
	StreamCompleted func(service string, events, guess int)                 // a stream is complete: its number of events, and of output tokens that the caller expected
	AttemptEnded    func(c *placement.Choice, r placement.Result, took time.Duration)
	BoxUnreachable  func(box string)                                    // a box was unreachable
	ForwardEnded    func(box, region string, ok bool)                   // reports whether a box of a region served a forwarded request
	ForwardBytes    func(t *Target, service string, sent, received int) // bytes of a forwarded request, headers included; 0 if it did not reach the box
	NewerPolicySeen func(version int)                                   // another box has a newer policy, of this version
	Record          func(decision.Event)
	Poison          PoisonHooks
	Keys            Keys
	Meter           Meter
}

// Liveness is what a new connection shows of a replica.
type Liveness int

// The values of Liveness.
const (
	LivenessUnknown Liveness = iota // it was not reached, or may have ended as planned
	Alive                           // it accepts connections
	Crashed                         // it refuses them, and had not announced that it leaves
)

// Head describes the head of a replica's answer.
type Head struct {
	Took    time.Duration      // since the attempt began
	Written time.Time          // when the write of the request began
	Signals *placement.Signals // what the replica reports of itself; nil if another one answered
	Success bool               // the replica has done the work: refusals and failures take another time
}

// Meter receives the metrics of requests.
type Meter struct {
	Request       func(service, outcome string, took time.Duration)
	FirstResponse func(service string, took time.Duration)
	Attempt       func(service, outcome string)
	Refusal       func(reason string)
	Forward       func(region, outcome string)
	Resumed       func(service string)
}

// Server accepts requests from callers and from other boxes.
type Server struct {
	box      string
	region   string
	codec    Codec
	core     Hooks
	replicas *exchange.Pool
	boxes    *exchange.Pool
	memory   bufferMemory

	usualTimes ending.UsualTimes // of served requests without tokens, by service

	maxAnswer int64 // bytes of an answer that announces no length

	probing atomic.Bool // a stall watch is making a connection; one at a time probes the link for all
}

// New returns the server of a box in a region.
func New(box, region string, codec Codec, core Hooks, replicas, boxes *exchange.Pool) *Server {
	return &Server{
		box:      box,
		region:   region,
		codec:    codec,
		core:     core,
		replicas: replicas,
		boxes:    boxes,

		maxAnswer: maxAnswerBytes,
	}
}

// Callers returns the handler for callers.
func (s *Server) Callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		removeRelayHeaders(r.Header)
		s.serve(w, r, nil)
	})
}

// Boxes returns the handler for requests that other boxes forward.
func (s *Server) Boxes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relay, err := decodeRelay(r.Header.Get(headerRelay))
		if err != nil {
			s.refuseRelay(w, "bad relay header: "+err.Error())
			return
		}
		removeRelayHeaders(r.Header)
		s.serve(w, r, relay)
	})
}

// serve answers one request; relay is nil if it came from a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, relay *relay) {
	if relay == nil && s.core.Leaving() {
		w.Header().Set("Connection", "close") // so that the caller reconnects to another box
	}
	c := &call{
		server: s,
		w:      w,
		r:      r,
		relay:  relay,
		start:  clock.Now(),
		state:  stateNotRun,
	}
	c.setBodyDeadline(c.start.Add(unreadBodyTimeout))
	if !c.identify() || !c.readBody() {
		return
	}
	defer c.failureMemory.release()
	c.setContent()
	ctx, cancel := context.WithTimeout(r.Context(), clock.Until(c.deadline)+deadlineGrace)
	defer cancel()
	if !c.findBuild(ctx) {
		c.refuse(reasonUnknownBuild, 0)
		return
	}
	c.run(ctx)
}
