package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/box"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/internal/site"
	"github.com/havenrudder/havenrudder/wire"
)

// tour is the list of things the demo tries.
type tour struct {
	user User
	site *site.Site
	out  io.Writer
}

type stop struct {
	name string
	run  func(ctx context.Context) error
}

func (t *tour) run(ctx context.Context) error {
	stops := []stop{
		{"a streamed answer", t.streamed},
		{"an engine that dies in the middle of an answer", t.resumed},
		{"a call that may not be repeated, sent twice to two boxes", t.once},
		{"data that may not enter a region", t.residency},
		{"a home that is full", t.fullHome},
		{"a state dump", t.dump},
		{"a planned stop under load", t.plannedStop},
	}
	for i, s := range stops {
		fmt.Fprintf(t.out, "\n%d. %s\n", i+1, s.name)
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

func (t *tour) sayf(format string, args ...any) { fmt.Fprintf(t.out, "   "+format+"\n", args...) }

func (t *tour) callers(name string) string { return t.site.Box(name).Addrs().Callers }

// reply is what came back for a request.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	tokens  []string
	whole   bool // the end of a stream was marked
	refusal wire.Refusal
	took    time.Duration
}

// chat sends a request of an organisation to a box, with a deadline; 0 for that of the service.
func (t *tour) chat(ctx context.Context, name, org, text string, deadline time.Duration) (reply, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":%s}`, t.user.model, messages(text))
	h := http.Header{
		gateway.HeaderOrg: {org},
		"Content-Type":    {"application/json"},
	}
	if deadline > 0 {
		h.Set(gateway.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	return send(ctx, http.MethodPost, "http://"+t.callers(name)+"/v1/chat/completions", body, h)
}

func messages(text string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, text)
}

func send(ctx context.Context, method, target, body string, h http.Header) (reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	r.Header = h
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	out := reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   data,
		took:   time.Since(began),
	}
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(data, &out.refusal)
	}
	return out, out.parseStream()
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (r *reply) parseStream() error {
	if r.header.Get("Content-Type") != "text/event-stream" {
		return nil
	}
	in := bufio.NewScanner(bytes.NewReader(r.body))
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			r.whole = true
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) != 1 {
			if json.Unmarshal([]byte(data), &r.refusal) == nil && r.refusal.Ran != "" {
				return nil // the stream ends with why it is not whole
			}
			return errors.Newf("event %q", data)
		}
		r.tokens = append(r.tokens, e.Choices[0].Delta.Content)
	}
	return in.Err()
}

// expectWhole checks that r is the whole answer to text and nothing else.
func expectWhole(r reply, text string) error {
	want := fakes.Tokens([]byte(messages(text)), tokens)
	if r.status != http.StatusOK || !r.whole {
		return errors.Newf("status %d, whole %t: %s", r.status, r.whole, r.body)
	}
	if !slices.Equal(r.tokens, want) {
		return errors.Newf("%d tokens, and not those of this request", len(r.tokens))
	}
	return nil
}

func (t *tour) streamed(ctx context.Context) error {
	const text = "replace the oat milk"
	start := time.Now()
	r, err := t.chat(ctx, t.user.abroad, t.user.any, text, 0)
	if err != nil {
		return err
	}
	if err := expectWhole(r, text); err != nil {
		return err
	}
	t.sayf("%d tokens from %s through %s in %d ms, whole", len(r.tokens), r.header.Get(gateway.HeaderUpstream), r.header.Get(gateway.HeaderBox), time.Since(start).Milliseconds())
	return nil
}

func (t *tour) resumed(ctx context.Context) error {
	const text = "what can stand in for leeks"
	first, err := t.chat(ctx, t.user.home, t.user.bound, text, 0)
	if err != nil {
		return err
	}
	name := first.header.Get(gateway.HeaderUpstream)
	t.site.Engine(name).BreakNext(tokens / 2) // the same prompt goes there again, for its prefix is cached
	r, err := t.chat(ctx, t.user.home, t.user.bound, text, 0)
	if err != nil {
		return err
	}
	if err := expectWhole(r, text); err != nil {
		return err
	}
	if t.site.Engine(name).Counts().Cancelled != 1 {
		return errors.Newf("engine %s did not break off", name)
	}
	t.sayf("begun at %s, which broke off before token %d; resumed elsewhere, no token twice or missing", name, tokens/2)
	return nil
}

func (t *tour) once(ctx context.Context) error {
	h := http.Header{
		gateway.HeaderOrg: {t.user.bound},
	}
	which := "http://" + t.callers(t.user.home) + "/v1/box?ticket=1&service=" + url.QueryEscape(t.user.plain)
	r, err := send(ctx, http.MethodGet, which, "", h)
	if err != nil {
		return err
	}
	var answer wire.WhichBox
	if err := json.Unmarshal(r.body, &answer); err != nil {
		return errors.Wrapf(err, "status %d: %s", r.status, r.body)
	}
	t.sayf("boxes to use: %s; ticket of %d bytes", strings.Join(answer.Boxes, ", "), len(answer.Ticket))
	h.Set(gateway.HeaderTicket, answer.Ticket)
	const body = `{"slot":"10:00"}`
	var replies [2]reply
	for i, name := range []string{t.user.home, t.user.sibling} {
		replies[i], err = send(ctx, http.MethodPost, "http://"+t.callers(name)+"/s/"+t.user.plain+t.user.once, body, h)
		if err != nil {
			return err
		}
	}
	ran := t.site.Ledger().Ran(body)
	if ran != 1 || replies[0].status != http.StatusOK || !bytes.Equal(replies[0].body, replies[1].body) {
		return errors.Newf("ran %d times, answers %d %s and %d %s", ran, replies[0].status, replies[0].body, replies[1].status, replies[1].body)
	}
	t.sayf("ran %d time; both callers got %s", ran, replies[1].body)
	return nil
}

func (t *tour) residency(ctx context.Context) error {
	r, err := t.chat(ctx, t.user.abroad, t.user.bound, "stay at home", 0)
	if err != nil {
		return err
	}
	if r.status != http.StatusForbidden || r.refusal.Ran != wire.RanNotRun {
		return errors.Newf("status %d: %s", r.status, r.body)
	}
	t.sayf("%s refused: %s, %s", t.user.abroad, r.refusal.Code, r.refusal.Ran)
	return nil
}

const (
	crowdRounds    = 6   // requests of the crowd, for each place at home
	deadlineRounds = 2.5 // of a request of the crowd, in durations of an answer
)

// fullHome sends more requests at once than the engines at home can answer before their deadline. Those that
// can be answered in time wait for a place there.
func (t *tour) fullHome(ctx context.Context) error {
	began := time.Now()
	if err := t.comeBack(ctx, t.user.home); err != nil {
		return err
	}
	duration := time.Since(began)
	deadline := time.Duration(deadlineRounds * float64(duration))
	places := t.places()
	crowd := crowdRounds * places
	before := t.finishedAway()
	replies, err := t.many(ctx, crowd, deadline, func(i int) string {
		return [...]string{t.user.home, t.user.sibling}[i%2]
	})
	if err != nil {
		return err
	}
	var answered, refused, late int
	var slowest time.Duration // refusal
	for i, r := range replies {
		switch {
		case expectWhole(r, crowdText(i)) == nil:
			answered++
		case r.refusal.Ran == wire.RanNotRun && r.refusal.RetryAfterMs > 0:
			refused++
			slowest = max(slowest, r.took)
		case r.refusal.Ran != "":
			late++ // it began in time and did not end
		default:
			return errors.Newf("status %d: %s", r.status, r.body)
		}
	}
	away := t.finishedAway() - before
	got := fmt.Sprintf("of %d requests at once for %d places %d were answered whole, %d refused as not run with a time to come back, within %v, and %d cut at their deadline of %v; %d ran away from home",
		crowd, places, answered, refused, slowest.Round(time.Millisecond), late, deadline.Round(time.Millisecond), away)
	if away != 0 || answered <= places || refused == 0 || late > places || slowest >= deadline {
		return errors.Newf("want more answers than places, refusals before the deadline, no more cut than there are places, and nothing away from home: %s", got)
	}
	t.sayf("%s", got)
	return nil
}

func crowdText(i int) string { return fmt.Sprintf("list %d", i) }

// sum adds up a count of the engines at the home of the bound organisation, or of those elsewhere.
func (t *tour) sum(home bool, count func(c fakes.EngineCounts) int) (n int) {
	domain := t.site.Box(t.user.home).Dump().Domain
	for name, e := range t.site.Engines() {
		if strings.Contains(name, domain) == home {
			n += count(e.Counts())
		}
	}
	return n
}

// places returns how many requests the engines at home run at once.
func (t *tour) places() int { return t.sum(true, func(c fakes.EngineCounts) int { return c.Slots }) }

// finishedAway returns the answers that engines elsewhere finished.
func (t *tour) finishedAway() int {
	return t.sum(false, func(c fakes.EngineCounts) int { return c.Finished })
}

// many sends n requests of the bound organisation at once, with a deadline; 0 for that of the service.
func (t *tour) many(ctx context.Context, n int, deadline time.Duration, box func(i int) string) ([]reply, error) {
	replies := make([]reply, n)
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { replies[i], errs[i] = t.chat(ctx, box(i), t.user.bound, crowdText(i), deadline) })
	}
	wg.Wait()
	return replies, errors.Join(errs...)
}

func (t *tour) dump(ctx context.Context) error {
	r, err := send(ctx, http.MethodGet, "http://"+t.site.Box(t.user.home).Addrs().Operators+"/debug/state", "", http.Header{})
	if err != nil {
		return err
	}
	var d box.Dump
	if err := json.Unmarshal(r.body, &d); err != nil {
		return errors.Wrap(err, "dump")
	}
	if d.Bundle.Version != 1 || len(d.Replicas) == 0 || len(d.Peers) == 0 {
		return errors.Newf("dump %s", r.body)
	}
	t.sayf("box %s: bundle %d, floor %d, %d peers, %d upstreams, tickets %v", d.Box, d.Bundle.Version, d.Bundle.Floor, len(d.Peers), len(d.Replicas), d.Tickets.Owned)
	return nil
}

const inFlight = 6

const maxComeBacks = 80

// comeBack does as a refusal says: it waits and asks again, until it is served.
func (t *tour) comeBack(ctx context.Context, name string) error {
	for range maxComeBacks {
		r, err := t.chat(ctx, name, t.user.bound, "are you there", 0)
		if err != nil || r.status == http.StatusOK {
			return err
		}
		time.Sleep(time.Duration(r.refusal.RetryAfterMs) * time.Millisecond)
	}
	return errors.New("refused for ever")
}

func (t *tour) plannedStop(ctx context.Context) error {
	name := t.user.home
	if err := t.comeBack(ctx, name); err != nil {
		return err
	}
	gone := t.callers(name)
	stopped := make(chan error, 1)
	begun := t.running() + inFlight
	go func() {
		for t.running() < begun && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		t.site.Box(name).Leave()
		stopped <- t.site.Wait(name)
	}()
	replies, err := t.many(ctx, inFlight, 0, func(int) string { return name })
	if err != nil {
		return err
	}
	for i, r := range replies {
		if err := expectWhole(r, crowdText(i)); err != nil {
			return err
		}
	}
	named, err := t.named(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(named, gone) {
		return errors.Newf("box %s is still named: %v", name, named)
	}
	if err := <-stopped; err != nil {
		return errors.Wrap(err, "box ended")
	}
	t.sayf("%d answers in flight all came whole, callers are sent to %s, the box has ended", inFlight, strings.Join(named, ", "))
	return nil
}

// running returns the requests that engines run now.
func (t *tour) running() int {
	n := 0
	for _, e := range t.site.Engines() {
		n += e.Counts().Running
	}
	return n
}

// named asks the other box at home which boxes to use.
func (t *tour) named(ctx context.Context) ([]string, error) {
	which := "http://" + t.callers(t.user.sibling) + "/v1/box?service=" + url.QueryEscape(t.user.engine)
	h := http.Header{
		gateway.HeaderOrg: {t.user.bound},
	}
	r, err := send(ctx, http.MethodGet, which, "", h)
	if err != nil {
		return nil, err
	}
	var answer wire.WhichBox
	err = json.Unmarshal(r.body, &answer)
	return answer.Boxes, errors.Wrap(err, "which box")
}

func (t *tour) printCurl() {
	addr := t.callers(t.user.abroad)
	fmt.Fprintf(t.out, `
Try it, and end with Ctrl-C:
  curl -s -H '%[1]s: %[2]s' 'http://%[3]s/v1/box?service=%[4]s'
  curl -sN -H '%[1]s: %[2]s' -d '{"model":"%[5]s","stream":true,"messages":[{"role":"user","content":"hello"}]}' http://%[3]s/v1/chat/completions
  curl -s -H '%[1]s: %[2]s' http://%[3]s/s/%[6]s/v1/status
  curl -s http://%[7]s/debug/state
`, gateway.HeaderOrg, t.user.any, addr, t.user.engine, t.user.model, t.user.plain, t.site.Box(t.user.abroad).Addrs().Operators)
}
