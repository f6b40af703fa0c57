// Package decision writes the structured log of a box: one JSON line for each
// decision that touches a request or changes what the box believes. Recording
// never blocks, and the volume is bounded by a budget of lines per second.
package decision

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Kind says what an event is about.
type Kind string

// The kinds of events.
const (
	Start    Kind = "start"    // the process began to serve
	Stop     Kind = "stop"     // the process ends
	Reload   Kind = "reload"   // settings were read again
	Lost     Kind = "lost"     // a dependency (the store, a box, a region) went away
	Regained Kind = "regained" // a lost dependency is back
	Belief   Kind = "belief"   // what is held of a replica, policy, evacuation or member changed
	Place    Kind = "place"    // a replica or a box was chosen
	Try      Kind = "try"      // one try ended
	End      Kind = "end"      // what the caller got
	Dropped  Kind = "dropped"  // lines that were left out; the log itself writes it
)

// kinds lists the known kinds in the order in which counts are reported.
var kinds = [...]Kind{
	Start, Stop, Reload, Lost, Regained, Belief, Place, Try, End, Dropped,
}

// Known reports whether k is one of the kinds of this package.
func (k Kind) Known() bool { return slices.Contains(kinds[:], k) }

// Outcome says how a try or a request ended.
type Outcome string

// The outcomes.
const (
	Served  Outcome = "served"  // answered in full
	NotRun  Outcome = "not_run" // failed, and surely had not begun to run
	Unknown Outcome = "unknown" // failed, and may have run
	Refused Outcome = "refused" // turned away
	Broken  Outcome = "broken"  // the answer ended before it was complete
	Left    Outcome = "left"    // the caller left before the end
	Crossed Outcome = "crossed" // the answer belongs to another request
)

// Signal is what a replica reports of itself in its answers.
type Signal string

// The signals.
const (
	Limit      Signal = "limit"       // it names a rate limit, or none any more
	Leaving    Signal = "leaving"     // it leaves
	RetryAfter Signal = "retry_after" // it wants no requests of this box for a time
)

// Failed reports whether o says that the request or try was not served. An empty
// outcome has not failed.
func (o Outcome) Failed() bool { return o != "" && o != Served }

// maxText is the longest text in one field, in bytes. Identifiers of this
// project are below 100 bytes; the limit bounds texts that come from callers.
const maxText = 256

// Event is one decision: the inputs that decided it, their age or version, and
// the outcome. Empty fields are left out of the line.
type Event struct {
	At       time.Time `json:"time"` // filled in by the Log
	Kind     Kind      `json:"kind"`
	Request  string    `json:"request,omitempty"` // id of the request
	Box      string    `json:"box,omitempty"`     // the box that decided; filled in by the Log
	Service  string    `json:"service,omitempty"`
	Route    string    `json:"route,omitempty"`
	Upstream string    `json:"upstream,omitempty"` // the replica, or the box that was chosen, lost or believed in
	Build    string    `json:"build,omitempty"`    // version of the software of that replica
	Resumes  string    `json:"resumes,omitempty"`  // id of the request whose stream this one takes up
	Outcome  Outcome   `json:"outcome,omitempty"`
	Reason   string    `json:"reason,omitempty"`   // one word or two
	Status   int       `json:"status,omitempty"`   // HTTP status
	Version  int64     `json:"version,omitempty"`  // version of the policy
	Revision int64     `json:"revision,omitempty"` // revision of the catalog
	AgeMs    int64     `json:"age_ms,omitempty"`   // age of the belief that decided
	TookMs   int64     `json:"took_ms,omitempty"`
	SentMs   int64     `json:"sent_ms,omitempty"`   // from the choice of a replica until the request was written to it
	HeadMs   int64     `json:"head_ms,omitempty"`   // from the choice of a replica until the head of its response
	FirstMs  int64     `json:"first_ms,omitempty"`  // until the caller got the first event of a stream
	PauseMs  int64     `json:"pause_ms,omitempty"`  // the longest between two events of a stream
	Framing  string    `json:"framing,omitempty"`   // how the body of the upstream's answer says where it ends
	Rest     int       `json:"rest,omitempty"`      // bytes of a stream after its last whole event
	Tokens   int       `json:"tokens,omitempty"`    // shared tokens of a prompt that have to be read
	Prompt   int       `json:"prompt,omitempty"`    // all tokens of a prompt
	InFlight int       `json:"in_flight,omitempty"` // requests believed to be at the upstream
	Memory   int       `json:"memory,omitempty"`    // tokens that they hold there
	Unread   int       `json:"unread,omitempty"`    // tokens of theirs that are still to be read there
	Sharers  int       `json:"sharers,omitempty"`   // boxes among which the pace of the cold replica, or quotas of the region, are shared
	CopyFrom string    `json:"copy_from,omitempty"` // address of the replica that shared tokens are copied from
	Tries    int       `json:"tries,omitempty"`
	ForMs    int64     `json:"for_ms,omitempty"` // for which the upstream defers requests
	Limit    float64   `json:"limit,omitempty"`  // requests per second that the upstream names in its answers
	Speed    float64   `json:"speed,omitempty"`  // time that work takes at the upstream, over the time expected
	Signal   Signal    `json:"signal,omitempty"` // what the upstream reported of itself, of a line of kind Belief
	Parts    string    `json:"parts,omitempty"`  // IDs of the shared parts of the prompt, in order
	Digest   string    `json:"digest,omitempty"` // of what the request asks, the same whenever it comes again
	Region   string    `json:"region,omitempty"`
	Channel  string    `json:"channel,omitempty"` // by which a policy arrived: read, watch or check of the publisher, or box

	LastEvent string `json:"last_event,omitempty"` // ID of the last event that the caller has of the stream that it takes up
	Send      int    `json:"send,omitempty"`       // number of the send among those of the request by this box, from 1
	Conn      uint64 `json:"conn,omitempty"`       // number of the connection on which the response came, among those of this box to replicas, or to boxes
	Discarded int    `json:"discarded,omitempty"`  // responses to other requests that came there in its place

	SpeedAgeMs   int64  `json:"speed_age_ms,omitempty"` // age of what Speed is by
	SpeedSource  string `json:"speed_source,omitempty"` // what Speed is by
	Organisation string `json:"organisation,omitempty"` // of the caller

	WaitedMs   int64  `json:"waited_ms,omitempty"`   // for which the request waited for capacity
	Ahead      int    `json:"ahead,omitempty"`       // requests that preceded it on its arrival there
	ExpectedMs int64  `json:"expected_ms,omitempty"` // wait that was expected on its arrival there
	Urgency    int    `json:"urgency,omitempty"`     // of the request among those that wait, 0 is the most urgent
	Flow       string `json:"flow,omitempty"`        // organisation or route by which the requests that wait are served in turn

	LossHere    float64 `json:"loss_here,omitempty"`    // of a request that goes to another region: expected here, in thousandths of its value
	LossThere   float64 `json:"loss_there,omitempty"`   // expected there
	LinkCost    float64 `json:"link_cost,omitempty"`    // of its bytes between the regions
	CallersCost float64 `json:"callers_cost,omitempty"` // of the capacity that it takes from callers there
	AwayShare   float64 `json:"away_share,omitempty"`   // probability with which such a request goes there
	LinkBytes   int     `json:"link_bytes,omitempty"`   // expected on the link, both ways

	Detail string  `json:"detail,omitempty"` // short text; cut at 256 bytes
	Counts []Count `json:"counts,omitempty"` // of a line of kind Dropped
}

// UnmarshalJSON decodes an event and fails on a kind that is not known.
func (e *Event) UnmarshalJSON(data []byte) error {
	type plain Event
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrap(err, "decision: event")
	}
	if !p.Kind.Known() {
		return errors.Newf("decision: event of unknown kind %q", p.Kind)
	}
	*e = Event(p)
	return nil
}

// shorten cuts texts that are too long, so that the queue and the lines are
// bounded in bytes too.
func (e *Event) shorten() {
	e.Request = cut(e.Request)
	e.Service = cut(e.Service)
	e.Route = cut(e.Route)
	e.Upstream = cut(e.Upstream)
	e.Build = cut(e.Build)
	e.Resumes = cut(e.Resumes)
	e.LastEvent = cut(e.LastEvent)
	e.Outcome = Outcome(cut(string(e.Outcome)))
	e.Reason = cut(e.Reason)
	e.Signal = Signal(cut(string(e.Signal)))
	e.CopyFrom = cut(e.CopyFrom)
	e.Parts = cut(e.Parts)
	e.Digest = cut(e.Digest)
	e.Region = cut(e.Region)
	e.SpeedSource = cut(e.SpeedSource)
	e.Organisation = cut(e.Organisation)
	e.Flow = cut(e.Flow)
	e.Detail = cut(e.Detail)
}

// cut returns the first maxText bytes of s without part of a character. The copy
// keeps a long text from staying in memory.
func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	n := maxText
	for n > maxText-utf8.UTFMax && !utf8.RuneStart(s[n]) {
		n--
	}
	return strings.Clone(s[:n])
}
