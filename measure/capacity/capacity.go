// Package capacity works out what each role of a box costs at the size to design
// for, from slopes that were measured. docs/measured/capacity.md holds its table, and a
// test holds the page to it.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/measure/control"
	"github.com/havenrudder/havenrudder/membership"
)

// Size is the size to design for, from the users' letter.
type Size struct {
	Boxes          float64
	Replicas       float64
	Domains        float64
	Regions        float64
	Requests       float64 // a second
	Tokens         float64 // a second
	Organisations  float64
	Changes        float64 // a second
	BetweenTokens  float64 // seconds
	Watchers       float64 // boxes of a domain that watch each key
	WatchSeconds   float64 // length of one waiting watch
	ProbeSeconds   float64 // between probes of a replica that tells nothing
	OnceShare      float64 // of requests that may not be repeated; ours to assume
	TicketSeconds  float64 // for which a ticket's record is held; ours to assume
	PrefixesAtBox  float64
	DumpsPerSecond float64
}

// Letter returns the size in the users' letter, and what we assume beside it.
func Letter() Size {
	return Size{
		Boxes:          390,
		Replicas:       4000,
		Domains:        28,
		Regions:        11,
		Requests:       13_000,
		Tokens:         2_700_000,
		Organisations:  600,
		Changes:        21_000.0 / 86_400,
		BetweenTokens:  0.048,
		Watchers:       2,
		WatchSeconds:   30,
		ProbeSeconds:   10,
		OnceShare:      0.05,
		TicketSeconds:  120,
		PrefixesAtBox:  8192,
		DumpsPerSecond: 1.0 / 60,
	}
}

// Budget of control a node, from the letter.
const (
	budgetCPU    = 0.011 // of a core
	budgetMemory = 128.0 // MB
	budgetBytes  = 3000  // a second; the letter's 3 KB, read the strict way
	budgetReads  = 2000  // a second over all readers
)

// Slopes are the measured slopes by name.
type Slopes map[string]control.Slope

// list returns the slopes in an order of names.
func (s Slopes) list(order []string) []control.Slope {
	out := make([]control.Slope, 0, len(order))
	for _, name := range order {
		out = append(out, s[name])
	}
	return out
}

// Read reads slopes from JSON lines, and the order in which they stand there.
func Read(r io.Reader) (Slopes, []string, error) {
	out := make(Slopes)
	var order []string
	in := bufio.NewScanner(r)
	for in.Scan() {
		var s control.Slope
		if err := json.Unmarshal(in.Bytes(), &s); err != nil {
			return nil, nil, errors.Wrap(err, "slopes")
		}
		out[s.Name] = s
		order = append(order, s.Name)
	}
	return out, order, errors.Wrap(in.Err(), "slopes")
}

// Need returns the value of a slope and complains when it was not measured.
func (s Slopes) need(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic(errors.Newf("capacity: slope %q was not measured", name))
	}
	return slope.Value
}

// Role is what one role of a box costs.
type Role struct {
	Name     string
	Control  bool    // counts against the budget of control
	CPU      float64 // share of a core; NaN for not measured
	Memory   float64 // MB
	Bytes    float64 // for control, a second, sent and received
	Messages float64 // a second, sent and received
	Formula  string
}

var notMeasured = math.NaN()

const (
	micro       = 1e-6
	mega        = 1e-6
	quoting     = 1.1 // growth of a node within a message, for its quotes
	partReads   = 3   // reads of the platform a change: root, branch and leaf
	envelope    = 43  // bytes, of JSON-RPC and its length
	askBytes    = 40  // bytes, of the question for a version
	headBytes   = 200
	probeBytes  = 230 // request and answer, measured on the stand-in
	ticketBytes = 276 // encoded, in the demo
	answerBytes = 54
)

// Roles works out every role.
func Roles(z Size, s Slopes) []Role {
	d := derive(z)
	relayCPU := d.requests*(s.need("request_cpu")-20*s.need("token_cpu")) + d.tokens*s.need("token_cpu")
	changeBytes := quoting*s.need("change_bytes") + headBytes + askBytes + 2*envelope
	once := d.requests * z.OnceShare
	heartbeat := s.need("heartbeat_cpu")
	return []Role{
		{
			Name:     "entry relay",
			CPU:      micro * relayCPU,
			Memory:   mega * d.streams * s.need("stream_heap"),
			Messages: d.requests,
			Formula:  "requests × (request_cpu − 20 × token_cpu) + tokens × token_cpu; streams × stream_heap",
		},
		{
			Name:     "placing a request",
			CPU:      micro * d.requests * (s.need("place_cpu_base") + d.regionReplicas*s.need("place_cpu_replica")),
			Memory:   mega * z.PrefixesAtBox * s.need("prefix_heap"),
			Messages: 0,
			Formula:  "requests × (place_cpu_base + region's replicas × place_cpu_replica); prefixes × prefix_heap",
		},
		{
			Name:     "answer to \"which box\"",
			CPU:      micro * d.requests * d.regionReplicas * s.need("name_cpu_replica"),
			Messages: d.requests,
			Formula:  "requests × region's replicas × name_cpu_replica, as if every request asked",
		},
		{
			Name:     "bundle reader and distributor",
			Control:  true,
			CPU:      micro*z.Changes*z.Organisations*s.need("change_cpu_org") + micro*z.Changes*2*heartbeat,
			Memory:   mega * z.Organisations * s.need("org_heap"),
			Bytes:    2 * z.Changes * changeBytes,
			Messages: 2 * z.Changes * 2,
			Formula:  "changes × organisations × change_cpu_org, and 2 messages a change at heartbeat_cpu; organisations × org_heap; 2 × changes × (1.1 × change_bytes + head, question and envelopes)",
		},
		{
			Name:     "membership",
			Control:  true,
			CPU:      micro * d.heartbeats * heartbeat,
			Bytes:    2*d.heartbeats*s.need("heartbeat_bytes") + 2*2*z.Watchers*z.Changes*s.need("heartbeat_bytes")*(d.domainBoxes-1)/d.domainBoxes,
			Messages: 2 * d.heartbeats,
			Formula:  "(domain's boxes − 1) / interval, sent and heard, × heartbeat_cpu; × heartbeat_bytes, and one more from each watcher at each change",
		},
		{
			Name:     "upstream inventory and probing",
			Control:  true,
			CPU:      notMeasured,
			Memory:   mega * d.regionReplicas * s.need("replica_heap"),
			Bytes:    d.probes * probeBytes,
			Messages: 2 * d.probes,
			Formula:  "region's replicas × replica_heap; domain's replicas / domain's boxes / 10 s × 230 bytes, as if none had callers",
		},
		{
			Name:     "ticket owner",
			CPU:      micro * once * (s.need("ticket_cpu") + 2*heartbeat),
			Memory:   mega * once * z.TicketSeconds * s.need("ticket_heap"),
			Bytes:    once * (ticketBytes + envelope + answerBytes),
			Messages: 2 * once,
			Formula:  "calls × (ticket_cpu + 2 × heartbeat_cpu); calls × 120 s × ticket_heap; calls × 373 bytes",
		},
		{
			Name:     "ticket witness",
			CPU:      micro * once * 2 * heartbeat,
			Memory:   mega * once * z.TicketSeconds * s.need("mark_heap"),
			Bytes:    once * (ticketBytes + envelope + answerBytes),
			Messages: 2 * once,
			Formula:  "calls × 2 × heartbeat_cpu; calls × 120 s × mark_heap; calls × 373 bytes",
		},
		{
			Name:    "state dump and metrics",
			Control: true,
			CPU:     micro * z.DumpsPerSecond * d.regionReplicas * s.need("dump_cpu_replica"),
			Formula: "one dump a minute × region's replicas × dump_cpu_replica",
		},
		{
			Name:    "a box without callers",
			Control: true,
			Memory:  mega * s.need("box_heap"),
			Formula: "box_heap: it includes the bundle, membership, connections to peers, and their share of the platform's stand-in",
		},
	}
}

// derived is what follows from the size for one box.
type derived struct {
	requests       float64
	tokens         float64
	streams        float64
	domainBoxes    float64
	domainReplicas float64
	regionReplicas float64
	heartbeats     float64 // sent a second
	probes         float64 // a second
}

func derive(z Size) derived {
	d := derived{
		requests:       z.Requests / z.Boxes,
		tokens:         z.Tokens / z.Boxes,
		domainBoxes:    math.Ceil(z.Boxes / z.Domains),
		domainReplicas: z.Replicas / z.Domains,
		regionReplicas: math.Ceil(z.Replicas / z.Regions),
	}
	d.streams = d.tokens * z.BetweenTokens
	d.heartbeats = (d.domainBoxes - 1) / membership.Interval(int(d.domainBoxes)).Seconds()
	d.probes = d.domainReplicas / d.domainBoxes / z.ProbeSeconds
	return d
}

// Reads returns the platform's calls a second over all readers.
func Reads(z Size) float64 {
	watches := z.Domains * z.Watchers * (z.Domains + 1)
	changes := z.Domains * z.Watchers * z.Changes * (1 + partReads)
	return watches/z.WatchSeconds + changes
}

// Table returns the roles and the budget as Markdown.
func Table(z Size, s Slopes) string {
	var b strings.Builder
	d := derive(z)
	fmt.Fprintf(&b, "For one box: %.1f requests and %.0f tokens a second, %.0f streams in flight; %.0f boxes and %.0f replicas in a failure domain, %.0f replicas in a region; %.2f changes a second.\n\n",
		d.requests, d.tokens, d.streams, d.domainBoxes, d.domainReplicas, d.regionReplicas, z.Changes)
	b.WriteString("| role | control | messages/s | core | MB | control bytes/s | worked out from |\n")
	b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	var cpu, memory, bytes float64
	for _, r := range Roles(z, s) {
		kind := "no"
		if r.Control {
			kind = "yes"
			memory += r.Memory
			bytes += r.Bytes
			if !math.IsNaN(r.CPU) {
				cpu += r.CPU
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %.1f | %s | %.1f | %.0f | %s |\n", r.Name, kind, r.Messages, percent(r.CPU), r.Memory, r.Bytes, r.Formula)
	}
	b.WriteString("\n| budget | worked out | allowed | holds |\n| --- | ---: | ---: | --- |\n")
	line(&b, "processor for control, share of a core (probing not in it)", percent(cpu), percent(budgetCPU), cpu <= budgetCPU)
	line(&b, "memory for control, MB", fmt.Sprintf("%.0f", memory), fmt.Sprintf("%.0f", budgetMemory), memory <= budgetMemory)
	line(&b, "bytes for control a second", fmt.Sprintf("%.0f", bytes), fmt.Sprint(budgetBytes), bytes <= budgetBytes)
	line(&b, "platform reads a second, all boxes", fmt.Sprintf("%.0f", Reads(z)), fmt.Sprint(budgetReads), Reads(z) <= budgetReads)
	return b.String()
}

func line(b *strings.Builder, what, worked, allowed string, holds bool) {
	word := "yes"
	if !holds {
		word = "**no**"
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s |\n", what, worked, allowed, word)
}

func percent(share float64) string {
	if math.IsNaN(share) {
		return "not measured yet"
	}
	return fmt.Sprintf("%.2f%%", 100*share)
}

// SlopeTable returns the slopes as Markdown, in the order of a file.
func SlopeTable(list []control.Slope) string {
	var b strings.Builder
	b.WriteString("| slope | value | least to greatest of 3 | measured over | unit |\n| --- | ---: | --- | --- | --- |\n")
	for _, s := range list {
		fmt.Fprintf(&b, "| `%s` | %g | %g to %g | %g to %g %s | %s |\n", s.Name, s.Value, s.Low, s.High, s.From, s.To, s.Of, s.Unit)
	}
	return b.String()
}
