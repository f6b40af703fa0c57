package ingress

import (
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
)

// upstream is a replica of a service of streams.
type upstream struct {
	id, addr string
	box      bool // it is a box of another region, before one replica
	dark     bool // it takes no connection any more, and says nothing
	noIDs    bool // its events have none
	tearAt   int  // event before which it breaks its streams off; 0 for never
	pauseAt  int  // event before which it pauses; 0 for never
	pause    time.Duration
	mu       sync.Mutex
	runs     int
}

// ServeHTTP answers with a stream.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.runs++
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if u.box {
		w.Header().Set(headerResult, resultAnswer)
		w.Header().Set(headerSent, "1")
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= eventCount; i++ {
		sleep.For(r.Context(), eventEvery+u.pauses(i))
		if u.tears(i) {
			panic(http.ErrAbortHandler)
		}
		if u.isDark() || r.Context().Err() != nil {
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

func (u *upstream) tears(event int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tearAt == event
}

func (u *upstream) tearBefore(event int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tearAt = event
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

func (u *upstream) isDark() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dark
}

func (u *upstream) goDark() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dark = true
}

// region is one box before some replicas.
type region struct {
	link  *link
	list  []*upstream
	mu    sync.Mutex
	heard map[string]time.Time
	none  time.Time // until when no replica can take a request
	spare func() bool
	turns int  // requests that were placed for the first time
	share bool // these go to the replicas by turns
	lines []decision.Event
	muted []string // replicas whose silence was told
	fixed bool     // the stream can't be resumed
	known Poison   // the seams to what is known of requests that end their replicas
}

// noPoison returns the seams where no replica ends under a request.
func noPoison() Poison {
	return Poison{
		Quarantined: func(*poison.Content) (time.Duration, bool) { return 0, false },
		Cut:         func(*placement.Choice, *poison.Content, time.Duration, bool) {},
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
		heard: make(map[string]time.Time),
		spare: func() bool { return true },
		known: noPoison(),
	}
	for i := range replicas {
		u := &upstream{
			id: fmt.Sprint("r-", i),
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

// place chooses the first replica that was not tried.
func (g *region) place(ask Ask) Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.list
	if g.share && len(ask.Request.Tried) == 0 {
		list = g.list[g.turns%len(g.list):]
		g.turns++
	}
	if clock.Now().After(g.none) {
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
						Replica: u.id,
						Addr:    u.addr,
						Expect:  eventEvery,
					},
				}
			}
		}
	}
	return Target{
		Reason: placement.Nothing,
		Wait:   40 * time.Millisecond,
	}
}

func (g *region) other(next Ask) (Target, bool) {
	t := g.place(next)
	return t, t.Reason == placement.None
}

func (g *region) quiet(c *placement.Choice, sent time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if heard := g.heard[c.Replica]; heard.After(sent) {
		sent = heard
	}
	return clock.Since(sent)
}

func (g *region) mute(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.muted = append(g.muted, c.Replica)
}

func (g *region) hear(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[c.Replica] = clock.Now()
}

func (g *region) core() Core {
	table := catalog.NewTable(catalog.Policy{
		Version: 1,
		Routes: []catalog.Route{
			{
				Name:      "chat",
				Host:      "shop.example",
				Prefix:    "/chat/",
				Kind:      catalog.Stream,
				Attempts:  2,
				Timeout:   15000,
				Goal:      1200,
				GapGoal:   600,
				Shares:    []catalog.Share{{Service: "engine", Weight: 1}},
				Resumable: !g.fixed,
			},
		},
	})
	return Core{
		Table:    func() *catalog.Table { return table },
		Current:  func() bool { return true },
		Leaving:  func() bool { return false },
		Streams:  func() bool { return true },
		Others:   func() bool { return true },
		EndsBy:   func() (time.Time, bool) { return time.Time{}, false },
		Place:    g.place,
		Begin:    func(string) {},
		Repeat:   func(string) bool { return g.spare() },
		First:    func(c *placement.Choice, _ time.Duration) { g.hear(c) },
		Written:  func(*placement.Choice) {},
		Heard:    g.hear,
		Quiet:    g.quiet,
		Muted:    g.mute,
		Other:    g.other,
		Streamed: func(string, int, int) {},
		End:      func(*placement.Choice, placement.Result, time.Duration) {},
		BoxLost:  func(string) {},
		Crossed:  func(string, string, bool) {},
		Record: func(e decision.Event) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.lines = append(g.lines, e)
		},
		Poison: g.known,
		Meter: Meter{
			Request: func(string, string, time.Duration) {},
			First:   func(string, time.Duration) {},
			Try:     func(string, string) {},
			Refusal: func(string) {},
			Forward: func(string, string) {},
			Resumed: func(string) {},
		},
	}
}

// received is what a caller got of a stream.
type received struct {
	body  string
	whole bool // the connection was not closed in the middle
	took  time.Duration
}

// call sends a request to the box and waits for its end.
func (g *region) call(t *testing.T) received { return g.calls(t, 1)[0] }

// calls sends requests to the box at the same time and waits for their ends.
func (g *region) calls(t *testing.T, n int) []received {
	pool := exchange.NewPool(exchange.WithDial(g.link.dial))
	defer pool.Close()
	box := g.box(pool)
	out := make([]received, n)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = receive(t, box) })
	}
	wg.Wait()
	return out
}

// box returns the box before the replicas.
func (g *region) box(pool *exchange.Pool) http.Handler {
	return New("box", "a", Codec{
		Facts: func(http.Header) (Facts, error) {
			return Facts{
				ID:       "q",
				Deadline: 15 * time.Second,
			}, nil
		},
		Send: func(h http.Header, s Send) {
			if s.LastEvent != "" {
				h.Set("Last-Event-Id", s.LastEvent)
			}
		},
		Owns:    func(http.Header, string) bool { return true },
		Ran:     func(status int, _ http.Header) bool { return status != http.StatusServiceUnavailable },
		Genuine: func(http.Header) bool { return true },
		Load:    func(http.Header) (int, int, bool) { return 0, 0, false },
	}, g.core(), pool, pool).Callers()
}

// receive sends a request to a box and waits for its end.
func receive(t *testing.T, box http.Handler) received {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://shop.example/chat/1", nil)
	began := clock.Now()
	out := received{
		whole: true,
	}
	func() {
		defer func() {
			if v := recover(); v != nil {
				out.whole = false
				if v != http.ErrAbortHandler {
					panic(v)
				}
			}
		}()
		box.ServeHTTP(w, r)
	}()
	out.took = clock.Since(began)
	out.body = w.Body.String()
	return out
}

// runs returns how often replicas ran a request.
func (g *region) runs() (n int) {
	for _, u := range g.list {
		u.mu.Lock()
		n += u.runs
		u.mu.Unlock()
	}
	return n
}

// wholeStream is the body of a stream that came to its end.
func wholeStream() (out string) {
	for i := 1; i <= eventCount; i++ {
		out += event(i, "e")
	}
	return out
}
