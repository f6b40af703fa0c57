package control

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/havenrudder/havenrudder/decision"
)

const (
	// beliefWindow is how long before a request's end beliefs are of interest: it
	// covers the age at which a belief is dropped.
	beliefWindow = 5 * time.Second
	// droppedDelay is how long after a drop its line may come: the log writes one
	// a second.
	droppedDelay = time.Second
	// timeLayout has milliseconds: clocks of boxes agree no better.
	timeLayout = "2006-01-02T15:04:05.000Z07:00"
)

// explanation is the path of one request and what may explain it, each in order
// of time.
type explanation struct {
	id      string
	path    []decision.Event
	same    []decision.Event // of requests that ask the same under other ids, and what is held of them
	beliefs []decision.Event
	signals []decision.Event // what the upstreams of the path had last reported of themselves before beliefs
	dropped []decision.Event
}

// explain picks from events what concerns the request id.
func explain(id string, events []decision.Event) explanation {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b decision.Event) int { return a.At.Compare(b.At) })
	x := explanation{
		id: id,
	}
	for _, e := range events {
		if e.Request == id {
			x.path = append(x.path, e)
		}
	}
	if len(x.path) == 0 {
		return x
	}
	concerned := subjectsOf(x.path)
	begin := x.path[0].At
	end := x.path[len(x.path)-1].At
	for _, e := range events {
		switch {
		case e.Request == id:
		case e.Digest != "" && concerned.digests[e.Digest]:
			x.same = append(x.same, e)
		case e.Signal != "" && e.At.Before(end.Add(-beliefWindow)) && concerned.upstreams[e.Upstream]:
			x.signals = replaceSignal(x.signals, e)
		case isBelief(&e) && within(e.At, end.Add(-beliefWindow), end) && concerned.include(&e):
			x.beliefs = append(x.beliefs, e)
		case e.Kind == decision.Dropped && within(e.At, begin, end.Add(droppedDelay)) && concerned.boxes[e.Box]:
			x.dropped = append(x.dropped, e)
		}
	}
	return x
}

// replaceSignal appends a signal and drops the earlier one of the same kind that the same box recorded of the
// same upstream.
func replaceSignal(list []decision.Event, e decision.Event) []decision.Event {
	list = slices.DeleteFunc(list, func(o decision.Event) bool {
		return o.Box == e.Box && o.Upstream == e.Upstream && o.Signal == e.Signal
	})
	return append(list, e)
}

// within says whether t lies from one time to another, both included.
func within(t, from, to time.Time) bool { return !t.Before(from) && !t.After(to) }

// subjects are the names that occur on the path of a request.
type subjects struct {
	boxes     map[string]bool // boxes that wrote the lines
	upstreams map[string]bool // replicas and boxes that were chosen
	regions   map[string]bool
	digests   map[string]bool // of what the request asks
}

// subjectsOf returns the names on a path.
func subjectsOf(path []decision.Event) subjects {
	s := subjects{
		boxes:     make(map[string]bool),
		upstreams: make(map[string]bool),
		regions:   make(map[string]bool),
		digests:   make(map[string]bool),
	}
	for _, e := range path {
		s.boxes[e.Box] = true
		s.upstreams[e.Upstream] = true
		s.regions[e.Region] = true
		s.digests[e.Digest] = true
	}
	return s
}

// include reports whether the belief e is about an upstream, a box or a region
// of the path. A belief that names none of them, as of the policy or the store,
// is about the box that wrote it.
func (s subjects) include(e *decision.Event) bool {
	if e.Digest != "" {
		return false // it is about another request
	}
	if e.Upstream != "" {
		return s.upstreams[e.Upstream] || s.boxes[e.Upstream]
	}
	if e.Region != "" {
		return s.regions[e.Region]
	}
	return s.boxes[e.Box]
}

// summary says how many lines, boxes and how much time the path has.
func (x *explanation) summary() string {
	took := x.path[len(x.path)-1].At.Sub(x.path[0].At)
	boxes := len(subjectsOf(x.path).boxes)
	return fmt.Sprintf("%d lines of %d boxes in %s", len(x.path), boxes, took.Round(time.Millisecond))
}

// writeTable writes one row an event to w, which must not fail.
func writeTable(w io.Writer, events []decision.Event) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tBOX\tKIND\tOUTCOME\tREASON\tINPUTS")
	for _, e := range events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n",
			e.At.UTC().Format(timeLayout), orDash(e.Box), e.Kind,
			orDash(string(e.Outcome)), orDash(e.Reason), inputs(&e))
	}
	_ = table.Flush() // w is a buffer
}

// inputs returns the other fields of e that aren't empty, as name=value.
func inputs(e *decision.Event) string {
	var out []string
	text := func(name, s string) {
		if s != "" {
			out = append(out, name+"="+printable(s))
		}
	}
	number := func(name string, n int64, unit string) {
		if n != 0 {
			out = append(out, name+"="+strconv.FormatInt(n, 10)+unit)
		}
	}
	figure := func(name string, f float64, unit string) {
		if f != 0 {
			out = append(out, name+"="+strconv.FormatFloat(f, 'g', -1, 64)+unit)
		}
	}
	text("service", e.Service)
	text("route", e.Route)
	text("upstream", e.Upstream)
	text("build", e.Build)
	text("resumes", e.Resumes)
	text("last_event", e.LastEvent)
	text("region", e.Region)
	text("organisation", e.Organisation)
	number("age", e.AgeMs, "ms")
	number("version", e.Version, "")
	number("revision", e.Revision, "")
	number("status", int64(e.Status), "")
	number("took", e.TookMs, "ms")
	number("sent", e.SentMs, "ms")
	number("head", e.HeadMs, "ms")
	number("send", int64(e.Send), "")
	number("conn", int64(e.Conn), "")
	number("discarded", int64(e.Discarded), "")
	number("first", e.FirstMs, "ms")
	number("pause", e.PauseMs, "ms")
	number("prompt", int64(e.Prompt), "")
	number("tokens", int64(e.Tokens), "")
	text("copy_from", e.CopyFrom)
	number("in_flight", int64(e.InFlight), "")
	number("memory", int64(e.Memory), "")
	number("unread", int64(e.Unread), "")
	number("sharers", int64(e.Sharers), "")
	number("tries", int64(e.Tries), "")
	number("for", e.ForMs, "ms")
	figure("limit", e.Limit, "/s")
	figure("speed", e.Speed, "")
	number("speed_age", e.SpeedAgeMs, "ms")
	text("speed_source", e.SpeedSource)
	text("signal", string(e.Signal))
	figure("loss_here", e.LossHere, "")
	figure("loss_there", e.LossThere, "")
	figure("link_cost", e.LinkCost, "")
	figure("callers_cost", e.CallersCost, "")
	figure("away_share", e.AwayShare, "")
	number("link_bytes", int64(e.LinkBytes), "")
	text("digest", e.Digest)
	text("detail", e.Detail)
	for _, c := range e.Counts {
		number(string(c.Kind), c.Lines, "")
	}
	return strings.Join(out, " ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return printable(s)
}

// printable quotes s if it has spaces or characters that a terminal acts on:
// callers choose some of the texts.
func printable(s string) string {
	odd := func(r rune) bool { return r == ' ' || r == '"' || !unicode.IsPrint(r) }
	if strings.ContainsFunc(s, odd) {
		return strconv.Quote(s)
	}
	return s
}
