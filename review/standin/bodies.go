package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/havenrudder/havenrudder/platform/platformtest"
)

// The case: a box keeps the whole bodies of all requests that it reads, without a bound on their sum.
const (
	usualCallers = 14                     // at each box, one request at a time each
	burstFactor  = 2.5                    // largest dose of a burst on the sites
	burstFor     = 20 * time.Second       // twice the 10 s of such a burst, as it may arise more than once
	bodyBytes    = 4 << 20                // maxBodyBytes of the configuration: callers stay inside it
	orderTime    = 220 * time.Millisecond // longest work of the class
	restartDelay = time.Second            // of a process that the platform has killed
	memoryChecks = 5 * time.Millisecond
	mostLost     = 3 // requests on kept connections that were handed to a sound replica and got no answer, by the rule
)

// memoryMB returns the resident memory of a process in megabytes, 0 if it has ended.
func memoryMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory kills a box that goes over its memory limit, as the platform does, and starts it again. It
// returns how often it did so, and the highest figure.
func (w *world) enforceMemory(ctx context.Context, b *box) (kills, peak int, err error) {
	for ctx.Err() == nil {
		time.Sleep(memoryChecks)
		pid, err := b.pid()
		if err != nil {
			return kills, peak, err
		}
		mb := memoryMB(pid)
		peak = max(peak, mb)
		if mb <= b.settings.Limits.MemoryMb {
			continue
		}
		kills++
		w.note("%s has %d MB, its memoryMb is %d: the platform kills it", b.settings.Node, mb, b.settings.Limits.MemoryMb)
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			return kills, peak, err
		}
		time.Sleep(restartDelay)
		if err := b.start(); err != nil {
			return kills, peak, err
		}
	}
	return kills, peak, nil
}

// callBox sends orders one after the other, and returns those without an answer on a kept connection.
func (w *world) callBox(ctx context.Context, b *box, caller int, body []byte) (unanswered []string) {
	c := platformtest.NewCaller(ctx, fmt.Sprintf("%s-%d", b.settings.Node, caller))
	for n := 0; ctx.Err() == nil; n++ {
		a := c.Send(ctx, platformtest.Call{
			Addr:     b.settings.Listen.Front,
			Host:     host,
			Path:     "/order/1",
			ID:       fmt.Sprintf("%s-%02d-%03d", b.settings.Node, caller, n),
			Deadline: 2500 * time.Millisecond,
			Body:     body,
			Chunked:  caller%2 == 0, // bodies arrive in chunks or with a length
		})
		if ctx.Err() == nil {
			w.note("%s answered: %d %v", a.ID, a.Status, a.Err)
		}
		if ctx.Err() == nil && a.Status == 0 && a.Reused {
			unanswered = append(unanswered, a.ID)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return unanswered
}

// lost returns the requests of a list that ran at a replica.
func (w *world) lost(unanswered []string) (out []string) {
	for _, r := range w.replicas {
		for _, q := range r.Runs() {
			if slices.Contains(unanswered, q.ID) {
				w.note("%s ran at %s, and its kept connection ended without an answer", q.ID, r.ID())
				out = append(out, q.ID)
			}
		}
	}
	return out
}

func longBodies(w *world) (bool, error) {
	w.config.AddService(platformtest.PlainService("orders"))
	w.config.AddRoute(platformtest.OnceRoute("order", host, "orders"))
	w.publish()
	for zone := range zones {
		for n := range 4 {
			if _, err := w.addReplica(fmt.Sprintf("i-%s-%d", zone, n), "orders", zone, platformtest.KindPlain, platformtest.WithWork(orderTime, 0), platformtest.WithSlots(6)); err != nil {
				return false, err
			}
		}
	}
	for n, zone := range []string{"vantaa-sali", "tampere-sali"} {
		if _, err := w.addBox(fmt.Sprintf("edge-%d", n+1), zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(3 * time.Second); err != nil {
		return false, err
	}
	callers := usualCallers
	if w.trouble {
		callers = int(usualCallers * burstFactor)
	}
	ctx, cancel := context.WithTimeout(w.ctx, burstFor)
	defer cancel()
	w.note("%d callers at each box, each with one order at a time of %d bytes", callers, bodyBytes)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var tasks sync.WaitGroup
	var mu sync.Mutex
	ends := 0
	var unanswered []string
	var failed error
	for _, b := range w.boxes {
		tasks.Go(func() {
			kills, peak, err := w.enforceMemory(ctx, b)
			mu.Lock()
			defer mu.Unlock()
			ends += kills
			if err != nil {
				failed = err
			}
			w.note("%s went over its memory limit %d times, at most %d MB", b.settings.Node, kills, peak)
		})
		for n := range callers {
			tasks.Go(func() {
				list := w.callBox(ctx, b, n, body)
				mu.Lock()
				defer mu.Unlock()
				unanswered = append(unanswered, list...)
			})
		}
	}
	tasks.Wait()
	lost := w.lost(unanswered)
	w.note("%d ends of processes; %d requests on kept connections ran and got no answer, the rule allows %d", ends, len(lost), mostLost)
	return len(lost) <= mostLost, failed
}
