package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: a box that passed requests on to another region's box counts one replica for it when that box
// is killed, although it may have sent each to several.
const (
	attempts     = 2
	countRate    = 27                    // requests a second, of which the small deployment has no others
	lostPercent  = 30                    // of the answers of a replica, as on the day trouble-2 of the site
	workTime     = 30 * time.Millisecond // of a request, the mean of the class
	rounds       = 6                     // of lost answers and a killed box
	lostFor      = time.Second
	lastRetries  = 300 * time.Millisecond   // after the lost answers, until the box is killed
	downFor      = 500 * time.Millisecond   // until the box is started again
	beforeLosses = 12500 * time.Millisecond // boxes have their part of the retry budget 11 s after their start
	afterKill    = 4 * time.Second
	mostOver     = 3 // requests that may run on more replicas, by the rule
)

// loses reports whether a replica loses its answer to a request.
func loses(replica, request string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, replica, "/", request)
	return h.Sum32()%100 < lostPercent
}

func tooManyReplicas(w *world) (bool, error) {
	w.config.AddService(platformtest.PlainService("counts"))
	route := platformtest.IdempotentRoute("count", host, "counts")
	route.Attempts = attempts
	route.TimeoutMs = 1500
	route.GoalMs = 500
	w.config.AddRoute(route)
	w.publish()
	var losing sync.Map // set while answers are lost
	places := map[string]string{
		"i-p1": "tampere-sali", "i-p2": "tampere-sali", "i-p3": "tampere-sali",
		"i-o1": "oulu-sali", "i-o2": "oulu-sali", "i-o3": "oulu-sali",
	}
	for id, zone := range places {
		body := func(q platformtest.Request) []byte {
			if _, on := losing.Load(zone); on && loses(id, q.ID) {
				<-w.ctx.Done() // nothing comes on the connection any more
			}
			return []byte("answer to " + q.ID)
		}
		if _, err := w.addReplica(id, "counts", zone, platformtest.KindPlain, platformtest.WithWork(workTime, 0), platformtest.WithBody(body)); err != nil {
			return false, err
		}
	}
	for _, b := range [][2]string{{"edge-u1", "vantaa-sali"}, {"edge-p1", "tampere-sali"}, {"edge-o1", "oulu-sali"}} {
		if _, err := w.addBox(b[0], b[1]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(0); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	front := w.boxes[0].settings.Listen.Front
	stop := make(chan struct{})
	sending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / countRate):
			}
			sending.Go(func() {
				a := w.caller.Send(w.ctx, platformtest.Call{
					Addr:     front,
					Host:     host,
					Method:   http.MethodGet,
					Path:     "/count/1",
					ID:       fmt.Sprintf("count%05d", n),
					Deadline: 3 * time.Second,
				})
				w.note("%s answered: %d %v", a.ID, a.Status, a.Err)
			})
		}
	})
	for n := range rounds {
		time.Sleep(beforeLosses)
		if !w.trouble {
			continue
		}
		b := w.boxes[1+n%2] // by turns: after a kill most requests go to the other region
		zone := b.settings.Zone
		w.note("replicas in %s lose %d in 100 answers", zone, lostPercent)
		losing.Store(zone, true)
		time.Sleep(lostFor)
		losing.Delete(zone)
		time.Sleep(lastRetries)
		w.note("%s is killed", b.settings.Node)
		if err := b.signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		time.Sleep(downFor)
		if err := b.start(); err != nil {
			return false, err
		}
		w.note("%s is started again", b.settings.Node)
	}
	time.Sleep(afterKill)
	close(stop)
	sending.Wait()
	return w.checkAttempts()
}

// checkAttempts reports whether at most mostOver requests ran on more replicas than their route allows.
func (w *world) checkAttempts() (bool, error) {
	ran := make(map[string][]string)
	for _, r := range w.replicas {
		for _, q := range r.Runs() {
			if !slices.Contains(ran[q.ID], r.ID()) {
				ran[q.ID] = append(ran[q.ID], r.ID())
			}
			w.note("%s ran at %s %.3f s after the start", q.ID, r.ID(), q.At.Sub(w.began).Seconds())
		}
	}
	over := 0
	for id, replicas := range ran {
		if len(replicas) > attempts {
			over++
			w.note("%s ran on %d replicas, its route allows %d: %v", id, len(replicas), attempts, replicas)
		}
	}
	w.note("%d requests ran, %d of them on more replicas than their route allows; the rule allows %d", len(ran), over, mostOver)
	return over <= mostOver, nil
}
