package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: a replica whose answers have no length is taken away at short notice while it answers. The
// process is killed, so that the system closes its connections.
const (
	notice       = 2 * time.Second // between the word that a replica leaves and its end, as on the sites
	others       = 7               // replicas of each service beside it: 0.125 are taken away, the sites have up to 0.14
	parts        = 10
	partInterval = 400 * time.Millisecond

	orders = "orders" // service of plain replicas
	menu   = "menu"   // service of model replicas
)

// answerPart returns the nth part, from 1, of an answer of a replica process. Parts of a stream are events.
func answerPart(stream bool, id string, n int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: %s part %d of %d\n\n", n, id, n, parts)
	}
	return fmt.Sprintf("%s part %d of %d\n", id, n, parts)
}

// runReplica is a replica in a process of its own. Its answers have neither a length nor chunks, and end
// with their connection.
func runReplica(path string) int {
	id := filepath.Base(path)
	l, err := net.Listen("tcp", platformtest.Loopback(1)+":0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if err := os.WriteFile(path+".new", []byte(l.Addr().String()), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if err := os.Rename(path+".new", path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return exitCannotRun
		}
		go answerUnframed(c, id)
	}
}

func answerUnframed(c net.Conn, replica string) {
	defer func() { _ = c.Close() }() // the answer ends with it
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == platformtest.DefaultHealthPath || r.URL.Path == platformtest.PathReport {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", platformtest.HeaderInstance, replica)
		return
	}
	id := r.Header.Get(platformtest.HeaderRequestID)
	if r.Header.Get(platformtest.HeaderExpect) != replica {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", platformtest.HeaderRequestID, id, platformtest.HeaderNotExecuted)
		return
	}
	stream := strings.HasPrefix(r.URL.Path, "/chat/")
	kind := "text/plain"
	if stream {
		kind = "text/event-stream"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		platformtest.HeaderRequestID, id, platformtest.HeaderSeal, platformtest.Seal(replica, id), kind)
	for n := 1; n <= parts; n++ {
		if _, err := io.WriteString(c, answerPart(stream, id, n)); err != nil {
			return
		}
		if n < parts {
			time.Sleep(partInterval)
		}
	}
}

// startReplica has the shell start a replica process, and returns its address.
func (w *world) startReplica(name string) (string, error) {
	path := w.dir + "/" + name
	if err := os.WriteFile(path+".replica", nil, 0o600); err != nil {
		return "", err
	}
	for range startTimeout / pollInterval {
		if addr, err := os.ReadFile(path); err == nil {
			return string(addr), nil
		}
		time.Sleep(pollInterval)
	}
	return "", errors.New("the replica process was not started")
}

// reclaimable is a replica process that is taken away.
type reclaimable struct {
	id    string
	entry platformtest.Entry
	pid   int
}

// addReclaimable starts a replica process and writes its entry.
func (w *world) addReclaimable(id, service string, slots int) (*reclaimable, error) {
	addr, err := w.startReplica(id)
	if err != nil {
		return nil, err
	}
	r := &reclaimable{
		id: id,
		entry: platformtest.Entry{
			Service: service,
			Addr:    addr,
			Zone:    "vantaa-sali",
			Version: "v1",
			Slots:   slots,
			State:   platformtest.Ready,
			Seq:     1,
		},
	}
	w.store.PutReplica(id, r.entry)
	r.pid, err = (&box{path: w.dir + "/" + id}).pid()
	return r, err
}

// giveNotice has the replica say that it is draining, and how long it is still there.
func (w *world) giveNotice(r *reclaimable) {
	r.entry.State = platformtest.Draining
	r.entry.RemainingMs = float64(notice.Milliseconds())
	r.entry.Seq++
	w.store.PutReplica(r.id, r.entry)
	w.note("%s says that it is draining and will be gone in %v", r.id, notice)
}

// reclaimRoutes are a route of orders and one of streams that can't be resumed. Answers take 4 s, so that
// the case doesn't hang on a moment.
func reclaimRoutes() (order, chat platformtest.Route) {
	order = platformtest.OnceRoute("order", host, orders)
	chat = platformtest.StreamRoute("chat", host, menu)
	chat.Resumable = false
	for _, r := range []*platformtest.Route{&order, &chat} {
		r.TimeoutMs = 15000
		r.GoalMs = 8000
		r.Attempts = 1
	}
	return order, chat
}

func reclaim(w *world) (bool, error) {
	w.config.AddService(platformtest.PlainService(orders), platformtest.EngineService(menu))
	w.config.AddRoute(reclaimRoutes())
	w.publish()
	order, err := w.addReclaimable("i-order", orders, 6)
	if err != nil {
		return false, err
	}
	model, err := w.addReclaimable("i-model", menu, 64)
	if err != nil {
		return false, err
	}
	b, err := w.addBox("edge-1", "vantaa-sali")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(2 * time.Second); err != nil {
		return false, err
	}
	answers := make(chan platformtest.Answer, 2)
	for _, route := range []string{"order", "chat"} {
		go func() {
			answers <- w.caller.Send(w.ctx, platformtest.Call{
				Addr:     b.settings.Listen.Front,
				Host:     host,
				Path:     "/" + route + "/1",
				ID:       route + "1",
				Deadline: 15 * time.Second,
				Body:     []byte("one loaf"),
			})
		}()
	}
	w.note("an order is sent, which runs at %s, and a chat, which runs at %s", order.id, model.id)
	time.Sleep(500 * time.Millisecond)
	for n := range others {
		if _, err := w.addReplica(fmt.Sprintf("i-order-%d", n), orders, "vantaa-sali", platformtest.KindPlain); err != nil {
			return false, err
		}
		if _, err := w.addReplica(fmt.Sprintf("i-model-%d", n), menu, "vantaa-sali", platformtest.KindEngine); err != nil {
			return false, err
		}
	}
	if w.trouble {
		w.giveNotice(order)
		w.giveNotice(model)
	}
	time.Sleep(notice)
	for _, r := range []*reclaimable{order, model} {
		if !w.trouble {
			break
		}
		if err := syscall.Kill(r.pid, syscall.SIGKILL); err != nil {
			return false, err
		}
		w.note("%s is gone: its process is killed", r.id)
	}
	return w.checkParts(answers, 2)
}

// checkParts reports whether no answer looks complete that lacks its last part.
func (w *world) checkParts(answers <-chan platformtest.Answer, n int) (held bool, err error) {
	held = true
	for range n {
		a := <-answers
		last := strings.Contains(string(a.Body), fmt.Sprintf("part %d of %d", parts, parts))
		w.note("%s: status %d, seal %q, looks complete: %v (%v), has its last part: %v, body %q", a.ID, a.Status, a.Header.Get(platformtest.HeaderSeal), a.Whole(), a.Err, last, a.Body)
		if a.Whole() && !last {
			held = false
		}
		if !w.trouble && !a.Whole() {
			err = errors.Newf("%s has no answer without the disruption", a.ID)
		}
	}
	return held, err
}
