package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: a replica rejects an order, and sends this answer once more where its next one is due. The box has
// sent the order again by then, over the same connection, and takes the second rejection for the answer to
// that, though the replica runs the order.
const (
	repeatBoxes  = 3 // of the site, in each zone
	repeatSlots  = 6 // of the site
	repeatQueue  = 3 // "a few more"
	repeatWork   = 30 * time.Millisecond
	repeatRate   = 80.0            // requests a second; the replica can run 200
	shedShare    = 40              // in 100 requests: what a replica fails by default (kinds: srv_grey, "shed")
	repeatShare  = 3               // in 100 answers: the share of the site (garble, "extra late")
	repeatLength = 5 * time.Second // of each disruption: the length of the site's garble
	repeatEvery  = 5500 * time.Millisecond
	repeatTime   = 85 * time.Second
	repeatLists  = 8 // one in so many requests is idempotent
	laterRuns    = time.Second
)

// soundReplicas of the service are elsewhere, so that one replica is at most the share 0.15 that srv_grey strikes.
var soundReplicas = map[string]int{
	"tampere-sali": 3,
	"oulu-sali":    3,
}

const (
	notExecuted = "HTTP/1.1 %s\r\n" + platformtest.HeaderRequestID + ": %s\r\n" + platformtest.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	wholeAnswer = "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": %s\r\n" + platformtest.HeaderSeal + ": %s\r\nContent-Length: %d\r\n\r\n%s"
	soundHealth = "HTTP/1.1 200 OK\r\n" + platformtest.HeaderInstance + ": %s\r\nContent-Length: 0\r\n\r\n"
)

// repeater is a plain replica that repeats some of its answers where the next one is due.
type repeater struct {
	id       string
	addr     string
	began    time.Time
	troubled func() bool // it rejects a part of its requests and repeats a part of its answers now
	slots    chan struct{}

	mu       sync.Mutex
	taken    int // requests that run or wait
	answers  int
	rejected int
	repeated int
	runs     map[string]int      // by request
	events   map[string][]string // what happened to a request
}

// addRepeater starts a replica and writes its entry.
func (w *world) addRepeater(id, zone string, troubled func() bool) (*repeater, error) {
	l, err := net.Listen("tcp", platformtest.Loopback(1)+":0")
	if err != nil {
		return nil, err
	}
	r := &repeater{
		id:       id,
		addr:     l.Addr().String(),
		began:    w.began,
		troubled: troubled,
		slots:    make(chan struct{}, repeatSlots),
		runs:     make(map[string]int),
		events:   make(map[string][]string),
	}
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, n)
		}
	}()
	w.store.PutReplica(id, platformtest.Entry{
		Service: orders,
		Addr:    r.addr,
		Zone:    zone,
		Version: "v1",
		Slots:   repeatSlots,
		State:   platformtest.Ready,
		Seq:     1,
	})
	return r, nil
}

// serve answers the requests of a connection, one at a time.
func (r *repeater) serve(c net.Conn, number int) {
	defer func() { _ = c.Close() }() // nothing depends on it
	in := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, late); err != nil {
			return
		}
		late = ""
		answer, again := r.answer(req, number)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if again {
			late = answer
		}
	}
}

// answer runs a request, or rejects it, and reports whether the answer is to be repeated.
func (r *repeater) answer(req *http.Request, conn int) (answer string, again bool) {
	if req.URL.Path == platformtest.DefaultHealthPath {
		return fmt.Sprintf(soundHealth, r.id), false
	}
	id := req.Header.Get(platformtest.HeaderRequestID)
	if expect := req.Header.Get(platformtest.HeaderExpect); expect != "" && expect != r.id {
		return fmt.Sprintf(notExecuted, "421 Misdirected Request", id), false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken >= repeatSlots+repeatQueue || (r.troubled() && r.draw(id, "rejected") < shedShare) {
		r.rejected++
		r.event(id, conn, "rejected, 503 and not executed")
		answer = fmt.Sprintf(notExecuted, "503 Service Unavailable", id)
	} else {
		r.taken++
		r.mu.Unlock()
		r.slots <- struct{}{}
		r.mu.Lock()
		r.runs[id]++
		r.event(id, conn, "begins to run")
		r.mu.Unlock()
		time.Sleep(repeatWork)
		<-r.slots
		r.mu.Lock()
		r.taken--
		r.event(id, conn, "answered, 200")
		body := "answer to " + id
		answer = fmt.Sprintf(wholeAnswer, id, platformtest.Seal(r.id, id), len(body), body)
	}
	r.answers++
	if again = r.troubled() && r.draw(id, "repeated") < repeatShare; again {
		r.repeated++
		r.event(id, conn, "this answer is repeated where the next one is due")
	}
	return answer, again
}

// draw returns a number below 100 for a request, another one each time.
func (r *repeater) draw(request, what string) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s %s %d %d", what, request, r.answers, r.rejected) // a hash takes all
	return h.Sum32() % 100
}

// event records what happened to a request; the caller holds the lock.
func (r *repeater) event(request string, conn int, what string) {
	r.events[request] = append(r.events[request], fmt.Sprintf("%7.3f s  %s, connection %d: %s", time.Since(r.began).Seconds(), r.id, conn, what))
}

func repeated(w *world) (bool, error) {
	order := platformtest.OnceRoute("order", host, orders)
	order.Priority = 0
	list := platformtest.IdempotentRoute("list", host, orders)
	list.Priority = 1
	w.config.AddService(platformtest.PlainService(orders))
	w.config.AddRoute(order, list)
	w.publish()
	r, err := w.addRepeater("i-vantaa", "vantaa-sali", func() bool {
		return w.trouble && time.Since(w.began)%repeatEvery < repeatLength
	})
	if err != nil {
		return false, err
	}
	for zone, count := range soundReplicas {
		for n := range count {
			if _, err := w.addReplica(fmt.Sprintf("i-%s-%d", zone, n), orders, zone, platformtest.KindPlain); err != nil {
				return false, err
			}
		}
	}
	for n := range repeatBoxes {
		if _, err := w.addBox(fmt.Sprintf("edge-%d", n+1), "vantaa-sali"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(4 * time.Second); err != nil {
		return false, err
	}
	answers := w.sendAtRandom(repeatTime)
	time.Sleep(laterRuns)
	return r.check(w, answers)
}

// sendAtRandom sends requests that come at random times to random boxes, and returns their answers.
func (w *world) sendAtRandom(length time.Duration) map[string]platformtest.Answer {
	rnd := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	answers := make(map[string]platformtest.Answer)
	var callers sync.WaitGroup
	next := time.Now()
	end := next.Add(length)
	for n := 0; next.Before(end); n++ {
		route := "order"
		if n%repeatLists == 0 {
			route = "list"
		}
		call := platformtest.Call{
			ID:       fmt.Sprintf("%s-%05d", route, n),
			Addr:     w.boxes[rnd.IntN(len(w.boxes))].settings.Listen.Front,
			Host:     host,
			Path:     "/" + route + "/1",
			Deadline: 2500 * time.Millisecond,
			Body:     []byte("one loaf"),
		}
		callers.Go(func() {
			a := w.caller.Send(w.ctx, call)
			mu.Lock()
			defer mu.Unlock()
			answers[a.ID] = a
		})
		next = next.Add(time.Duration(rnd.ExpFloat64() / repeatRate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
	callers.Wait()
	return answers
}

// check reports whether each order ran at most once, and not at all where its caller was promised that.
func (r *repeater) check(w *world, answers map[string]platformtest.Answer) (held bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make(map[int]int)
	twice, promised := 0, 0
	for _, id := range slices.Sorted(maps.Keys(answers)) {
		a := answers[id]
		statuses[a.Status]++
		w.note("%s: ran %d times, answer %d %v", id, r.runs[id], a.Status, a.Err)
		if !strings.HasPrefix(id, "order") {
			continue
		}
		ranTwice, broken := r.runs[id] > 1, r.runs[id] > 0 && a.NotRun()
		if ranTwice {
			twice++
		}
		if broken {
			promised++
		}
		if ranTwice || broken {
			for _, event := range r.events[id] {
				w.note("    %s", event)
			}
		}
	}
	w.note("answers by status: %v", statuses)
	w.note("the replica gave %d answers, %d of them rejections, and repeated %d", r.answers, r.rejected, r.repeated)
	w.note("orders that ran though their callers got 429 or 503: %d (REFUSED); orders that ran more than once: %d (TWICE)", promised, twice)
	if served := statuses[http.StatusOK]; served < len(answers)/2 {
		return false, errors.Newf("only %d of %d requests were served", served, len(answers))
	}
	return promised == 0 && twice == 0, nil
}
