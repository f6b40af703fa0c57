package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

const (
	eventEvery = 100 * time.Millisecond
	eventCount = 20

	softwareVersion = "v1"
)

// upstream is a replica of a streaming service.
type upstream struct {
	id, addr string
	version  string // of its software; empty if unknown
	box      bool   // it is a box of another region in front of one replica
	hung     bool   // it sends nothing any more
	noIDs    bool   // its events have no IDs
	abortAt  int    // event before which it aborts its streams; 0 for never
	pauseAt  int    // event before which it pauses; 0 for never
	pause    time.Duration
	comments int // keep-alives before the first event, one every eventEvery
	mu       sync.Mutex
	runs     int
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.runs++
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if u.box {
		w.Header().Set(headerResult, resultAnswer)
		w.Header().Set(headerSent, "1")
		w.Header().Set(headerBuild, strconv.FormatUint(uint64(catalog.BuildOf("engine", softwareVersion)), 10))
	}
	for range u.comments {
		_, _ = io.WriteString(w, ": wait\n\n")
		_ = http.NewResponseController(w).Flush()
		sleep.For(r.Context(), eventEvery)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= eventCount; i++ {
		sleep.For(r.Context(), eventEvery+u.pauses(i))
		if u.aborts(i) {
			panic(http.ErrAbortHandler)
		}
		if u.isHung() || r.Context().Err() != nil {
			<-r.Context().Done()
			return
		}
		piece := event(i, "e")
		if u.noIDs {
			piece = "data: e\n\n"
		}
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
}

func (u *upstream) aborts(event int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.abortAt == event
}

func (u *upstream) abortBefore(event int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abortAt = event
}

func (u *upstream) pauses(event int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pauseAt != event {
		return 0
	}
	return u.pause
}

func (u *upstream) pauseBefore(event int, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pauseAt = event
	u.pause = d
}

func (u *upstream) isHung() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hung
}

func (u *upstream) hang() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hung = true
}

// region is one box with some replicas.
type region struct {
	link         *link
	list         []*upstream
	mu           sync.Mutex
	lastReceived map[string]time.Time
	fullUntil    time.Time // until when no replica has capacity
	takeRetry    func() bool
	returned     []time.Duration // when retries were taken that were given back
	placed       int             // first attempts that were placed
	roundRobin   bool            // first attempts go to the replicas in turn
	events       []decision.Event
	silent       []string // replicas that were reported as silent
	results      map[string]placement.Result
	unresumable  bool // the route's streams can't be resumed
	began        time.Time
	uptime       time.Duration // of the box when the test begins
	policyAfter  time.Duration // time until the box has a policy
	poisonFuncs  PoisonHooks
}

// noPoison returns PoisonHooks for requests under which no replica crashes.
func noPoison() PoisonHooks {
	return PoisonHooks{
		Quarantined: func(*poison.Content) (time.Duration, bool) { return 0, false },
		PartVerdict: func(*poison.Content) poison.PartVerdict { return poison.PartVerdict{} },
		Interrupted: func(*placement.Choice, *poison.Content, time.Duration, bool) {},
		Survived:    func(*placement.Choice, *poison.Content, time.Duration) {},
		OnTrial:     func(*poison.Content) bool { return false },
		TakeTrial:   func(*poison.Content) bool { return false },
		EndTrial:    func(*placement.Choice, *poison.Content) {},
	}
}

func newRegion(t *testing.T, replicas int) *region {
	g := &region{
		link: &link{
			net: fakes.NewNetwork(),
		},
		lastReceived: make(map[string]time.Time),
		results:      make(map[string]placement.Result),
		began:        clock.Now(),
		uptime:       time.Minute,
		takeRetry:    func() bool { return true },
		poisonFuncs:  noPoison(),
	}
	for i := range replicas {
		u := &upstream{
			id:      fmt.Sprint("r-", i),
			version: softwareVersion,
		}
		l, err := g.link.net.Listen(u.id)("tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		u.addr = l.Addr().String()
		s := &http.Server{
			Handler: u,
		}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		g.list = append(g.list, u)
	}
	return g
}

// place returns the first replica that was not tried.
func (g *region) place(_ context.Context, ask TargetQuery) Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.list
	if g.roundRobin && len(ask.Request.Tried) == 0 {
		list = g.list[g.placed%len(g.list):]
		g.placed++
	}
	if clock.Now().After(g.fullUntil) {
		for _, u := range list {
			if u.box && !slices.Contains(ask.TriedBoxes, u.id) {
				return Target{
					Box:     u.id,
					BoxAddr: u.addr,
					Region:  "b",
				}
			}
			if !u.box && !slices.Contains(ask.Request.Tried, u.id) {
				return Target{
					Choice: placement.Choice{
						Incarnation: u.id,
						Build:       u.version,
						Addr:        u.addr,
						Expect:      eventEvery,
					},
				}
			}
		}
	}
	return Target{
		Reason:     placement.NoReplica,
		RetryAfter: 40 * time.Millisecond,
	}
}

func (g *region) other(next TargetQuery) (Target, bool) {
	t := g.place(context.Background(), next)
	return t, t.Reason == placement.None
}

func (g *region) idleTime(c *placement.Choice, sent time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lastReceived := g.lastReceived[c.Incarnation]; lastReceived.After(sent) {
		sent = lastReceived
	}
	return clock.Since(sent)
}

func (g *region) noteSilent(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = append(g.silent, c.Incarnation)
}

func (g *region) noteResult(c *placement.Choice, r placement.Result, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results[c.Incarnation] = r
}

func (g *region) noteReceived(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastReceived[c.Incarnation] = clock.Now()
}

func (g *region) core() Hooks {
	table := catalog.NewTable(catalog.Policy{
		Version: 1,
		Routes: []catalog.Route{
			{
				Name:          "chat",
				Host:          "shop.example",
				Prefix:        "/chat/",
				Kind:          catalog.Stream,
				Attempts:      2,
				Timeout:       15000,
				LatencyTarget: 1200,
				GapTarget:     600,
				Shares:        []catalog.Share{{Service: "engine", Weight: 1}},
				Resumable:     !g.unresumable,
			},
		},
	})
	return Hooks{
		StreamBegan: func(string, catalog.BuildID) {},
		FindBuild:   func(context.Context, BuildQuery) catalog.BuildID { return catalog.BuildOf("engine", softwareVersion) },
		Table: func() *catalog.Table {
			if clock.Since(g.began) < g.policyAfter {
				return nil
			}
			return table
		},
		Uptime:          func() time.Duration { return g.uptime + clock.Since(g.began) },
		CatalogFresh:    func(context.Context) bool { return true },
		Leaving:         func() bool { return false },
		Shed:            func() (time.Duration, bool) { return 0, false },
		AcceptsStreams:  func() bool { return true },
		OtherBoxServing: func() bool { return true },
		StopDeadline:    func() (time.Time, bool) { return time.Time{}, false },
		Place:           g.place,
		CountRequest:    func(string) {},
		TakeRetry:       func(string) bool { return g.takeRetry() },
		ReturnRetry:     func(_ string, taken time.Duration) { g.returned = append(g.returned, taken) },
		HeadReceived:    func(c *placement.Choice, _ Head) { g.noteReceived(c) },
		MalformedHeader: func(*placement.Choice, error) {},
		MayWrite:        func(*placement.Choice) bool { return true },
		RequestWritten:  func(*placement.Choice) {},
		ProbeReplica:    func(context.Context, *placement.Choice) Liveness { return Alive },
		DataReceived:    g.noteReceived,
		IdleTime:        g.idleTime,
		ReplicaSilent:   g.noteSilent,
		PeekTarget:      g.other,
		StreamCompleted: func(string, int, int) {},
		AttemptEnded:    g.noteResult,
		BoxUnreachable:  func(string) {},
		ForwardEnded:    func(string, string, bool) {},
		ForwardBytes:    func(*Target, string, int, int) {},
		Record: func(e decision.Event) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.events = append(g.events, e)
		},
		Poison: g.poisonFuncs,
		Meter: Meter{
			Request:       func(string, string, time.Duration) {},
			FirstResponse: func(string, time.Duration) {},
			Attempt:       func(string, string) {},
			Refusal:       func(string) {},
			Forward:       func(string, string) {},
			Resumed:       func(string) {},
		},
	}
}

// callerResult is what a caller received of a stream.
type callerResult struct {
	body     string
	complete bool // the connection was not closed in the middle
	took     time.Duration
}

// call sends a request to the box and waits for the end of the response.
func (g *region) call(t *testing.T) callerResult { return g.calls(t, 1)[0] }

// calls sends concurrent requests to the box and waits for the ends of the responses.
func (g *region) calls(t *testing.T, n int) []callerResult {
	pool := exchange.NewPool(exchange.WithDial(g.link.dial))
	defer pool.Close()
	box := g.box(pool)
	out := make([]callerResult, n)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = receive(t, box) })
	}
	wg.Wait()
	return out
}

func (g *region) box(pool *exchange.Pool) http.Handler {
	return New("box", "a", testCodec(15*time.Second), g.core(), pool, pool).Callers()
}

// testCodec returns a codec without headers of a platform. All requests have the same deadline.
func testCodec(deadline time.Duration) Codec {
	return Codec{
		ReadFacts: func(http.Header) (Facts, error) {
			return Facts{
				ID:       "q",
				Deadline: deadline,
			}, nil
		},
		WriteReplicaHeaders: func(h http.Header, s ReplicaHeaders) {
			if s.LastEventID != "" {
				h.Set("Last-Event-Id", s.LastEventID)
			}
		},
		MatchesRequest: func(http.Header, string) bool { return true },
		Executed:       func(status int, _ http.Header) bool { return status != http.StatusServiceUnavailable },
		FromReplica:    func(http.Header) bool { return true },
		LoadReport:     func(http.Header) (LoadReport, bool, error) { return LoadReport{}, false, nil },
		ReadSignals:    func(int, http.Header) (placement.Signals, error) { return placement.Signals{}, nil },
	}
}

func receive(t *testing.T, box http.Handler) callerResult {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://shop.example/chat/1", nil)
	began := clock.Now()
	out := callerResult{
		complete: !serveUntilAborted(box, w, r),
	}
	out.took = clock.Since(began)
	out.body = w.Body.String()
	return out
}

// serveUntilAborted serves a request, and reports whether the box cut the connection of its caller.
func serveUntilAborted(box http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		v := recover()
		aborted = v == http.ErrAbortHandler
		if v != nil && !aborted {
			panic(v)
		}
	}()
	box.ServeHTTP(w, r)
	return false
}

func (g *region) runs() (n int) {
	for _, u := range g.list {
		u.mu.Lock()
		n += u.runs
		u.mu.Unlock()
	}
	return n
}

func completeStream() (out string) {
	for i := 1; i <= eventCount; i++ {
		out += event(i, "e")
	}
	return out
}
