package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: a caller that leaves by ending its sending side gets a success that no replica made.
const (
	leavers    = 2 // of the callers: the share of the site is 0.2 to 0.3
	stayers    = 8
	leaveAfter = 100 * time.Millisecond // the objective is 400 ms, of which the site's leave after half
	orderWork  = 220 * time.Millisecond // longest work of the class
)

// sendOrder sends an order on a new connection, and returns the answer. A caller that leaves ends its
// sending side meanwhile.
func sendOrder(addr, id string, leaves bool) (status int, seal string, body []byte, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = c.Close() }() // nothing depends on it
	_, err = fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2500\r\nContent-Length: 8\r\n\r\none loaf",
		host, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
	if err != nil {
		return 0, "", nil, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, "", nil, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(platformtest.HeaderSeal), body, err
}

func halfClose(w *world) (bool, error) {
	w.config.AddService(platformtest.PlainService(orders))
	w.config.AddRoute(platformtest.OnceRoute("order", host, orders))
	w.publish()
	for zone := range zones {
		if _, err := w.addReplica("i-"+zone, orders, zone, platformtest.KindPlain, platformtest.WithWork(orderWork, 0)); err != nil {
			return false, err
		}
	}
	b, err := w.addBox("edge-1", "vantaa-sali")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(2 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	unsealed, served := 0, 0
	var callers sync.WaitGroup
	for n := range leavers + stayers {
		leaves := w.trouble && n < leavers
		callers.Go(func() {
			id := fmt.Sprintf("order%02d", n)
			status, seal, body, err := sendOrder(b.settings.Listen.Front, id, leaves)
			w.note("%s: leaves: %v, answer: status %d, seal %q, body %q (%v)", id, leaves, status, seal, body, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status/100 == 2 && seal == "":
				unsealed++
			case status/100 == 2:
				served++
			}
		})
	}
	callers.Wait()
	for _, r := range w.replicas {
		for _, q := range r.Arrivals() {
			w.note("%s came to %s: ran: %v, answered: %v, cancelled: %v", q.ID, r.ID(), q.Ran, q.Answered, q.Cancelled)
		}
	}
	w.note("%d answers of success with a seal, %d without", served, unsealed)
	if served < stayers {
		return false, errors.Newf("only %d callers were served", served)
	}
	return unsealed == 0, nil
}
