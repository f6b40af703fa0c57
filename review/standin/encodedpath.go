package main

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: routes are looked up by the decoded path, though the path goes to replicas as it was sent. The
// path of an order, whose number has an encoded slash, is taken for one of another route, which may run twice.
const (
	shopOrders    = 40
	resetPercent  = 30 // of the answers of a replica; on the days of the site up to 40
	orderInterval = 100 * time.Millisecond
)

// resets reports whether a replica loses its answer to a request.
func resets(replica, request string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, replica, "/", request)
	return h.Sum32()%100 < resetPercent
}

func encodedPath(w *world) (bool, error) {
	w.config.AddService(platformtest.PlainService(orders))
	order := platformtest.OnceRoute("order", host, orders)
	list := platformtest.IdempotentRoute("list", host, orders)
	list.Prefix = "/order/list/"
	w.config.AddRoute(order, list)
	w.publish()
	for n := range 4 {
		r, err := w.addReplica(fmt.Sprintf("i-%d", n), orders, "vantaa-sali", platformtest.KindPlain, platformtest.WithWork(workTime, 0))
		if err != nil {
			return false, err
		}
		if n%2 == 0 {
			continue // half of the replicas lose answers
		}
		go w.loseAnswers(r)
	}
	b, err := w.addBox("edge-1", "vantaa-sali")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(12 * time.Second); err != nil { // until it has its part of the retry budget
		return false, err
	}
	served := 0
	for n := range shopOrders {
		a := w.caller.Send(w.ctx, platformtest.Call{
			Addr:     b.settings.Listen.Front,
			Host:     host,
			Path:     fmt.Sprintf("/order/list%%2F%d", n),
			ID:       fmt.Sprintf("order%02d", n),
			Deadline: 2500 * time.Millisecond,
			Body:     []byte("one loaf"),
		})
		w.note("%s answered: %d %v", a.ID, a.Status, a.Err)
		if a.Whole() {
			served++
		}
		time.Sleep(orderInterval)
	}
	if served < shopOrders/4 {
		return false, errors.Newf("only %d orders were served", served)
	}
	return w.checkOnce()
}

// checkOnce reports whether each request ran at most once.
func (w *world) checkOnce() (bool, error) {
	var once, twice []string
	for _, r := range w.replicas {
		for _, q := range r.Runs() {
			w.note("%s %s %s ran at %s", q.ID, q.Method, q.Target, r.ID())
			if slices.Contains(once, q.ID) {
				twice = append(twice, q.ID)
			}
			once = append(once, q.ID)
		}
	}
	w.note("%d runs, second runs: %v", len(once), twice)
	return len(twice) == 0, nil
}

// loseAnswers has a replica lose some answers: it runs the request and resets the connection.
func (w *world) loseAnswers(r *platformtest.Replica) {
	if !w.trouble {
		return
	}
	for n := 0; w.ctx.Err() == nil; n++ {
		fault := platformtest.ReplicaFault{}
		if resets(r.ID(), fmt.Sprint(n)) {
			fault.Mode = platformtest.AnswerLost
		}
		r.SetFault(fault)
		if err := r.AwaitRuns(w.ctx, n+1); err != nil {
			return
		}
	}
}
