package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	eventEvery = 100 * time.Millisecond
	eventCount = 20
)

// link is a box's link. While it is full, nothing comes through, and nothing is lost. While
// the box's processor is behind, what has come lies unread, and connections are made.
type link struct {
	net    *fakes.Network
	mu     sync.Mutex
	till   time.Time
	behind time.Time
	down   time.Time // until when every connection is refused
	dials  int       // that were begun
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.down)
}

// refuse has every connection be refused for a time.
func (l *link) refuse(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = time.Now().Add(d)
}

// fill makes the link full for a time.
func (l *link) fill(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.till = time.Now().Add(d)
}

// fallBehind has the box's processor read nothing for a time.
func (l *link) fallBehind(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behind = time.Now().Add(d)
}

// full returns until when the link is full.
func (l *link) full() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.till
}

// late returns until when what comes now is not read.
func (l *link) late() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behind.After(l.till) {
		return l.behind
	}
	return l.till
}

// dialled returns how many connections were begun.
func (l *link) dialled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// waitTill waits until a time, or done is closed.
func waitTill(till time.Time, done <-chan struct{}) error {
	timer := time.NewTimer(time.Until(till))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-done:
		return net.ErrClosed
	}
}

func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	if l.isDown() {
		return nil, net.ErrClosed
	}
	if err := waitTill(l.full(), ctx.Done()); err != nil {
		return nil, ctx.Err()
	}
	c, err := l.net.Dial("box")(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &throughLink{
		Conn: c,
		link: l,
		done: make(chan struct{}),
	}, nil
}

// throughLink is a connection over a link.
type throughLink struct {
	net.Conn
	link   *link
	done   chan struct{}
	once   sync.Once
	unread atomic.Bool // bytes have come and aren't read
}

// Read reads what came through the link.
func (c *throughLink) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.unread.Store(n > 0 && time.Now().After(c.link.full()))
	defer c.unread.Store(false)
	if passed := waitTill(c.link.late(), c.done); passed != nil {
		return 0, passed
	}
	return n, err
}

// SyscallConn shows to the kernel's calls whether bytes are unread.
func (c *throughLink) SyscallConn() (syscall.RawConn, error) { return (*rawLink)(c), nil }

// rawLink is a connection over a link as the kernel knows it.
type rawLink throughLink

// Control gives f a socket with an unread byte if the connection has some.
func (c *rawLink) Control(f func(fd uintptr)) error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	if c.unread.Load() {
		_, err = syscall.Write(pair[1], []byte("x"))
	}
	f(uintptr(pair[0]))
	return errors.Join(err, syscall.Close(pair[0]), syscall.Close(pair[1]))
}

func (c *rawLink) Read(f func(fd uintptr) bool) error {
	return c.Control(func(fd uintptr) { f(fd) })
}

func (*rawLink) Write(func(uintptr) bool) error { return syscall.ENOTSUP }

// Close closes the connection.
func (c *throughLink) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

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
}

func newRegion(t *testing.T, replicas int) *region {
	g := &region{
		link: &link{
			net: fakes.NewNetwork(),
		},
		heard: make(map[string]time.Time),
		spare: func() bool { return true },
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
	if time.Now().After(g.none) {
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
	return time.Since(sent)
}

func (g *region) mute(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.muted = append(g.muted, c.Replica)
}

func (g *region) hear(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[c.Replica] = time.Now()
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
	began := time.Now()
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
	out.took = time.Since(began)
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
