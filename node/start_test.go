package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/ingress"
)

const (
	starts   = 300              // of boxes, each a chance for tasks to come in another order
	together = 8                // starts at the same time
	startsIn = 60 * time.Second // bound of the test; it is never reached when all is well
)

// atOnce is a source that answers at once.
func atOnce(*exchange.Pool, Report) catalog.Source {
	return catalog.Source{
		Read: func(context.Context) (catalog.Snapshot, error) {
			return catalog.Snapshot{
				Revision: 1,
				Policy:   policy(1),
			}, nil
		},
		Wait: func(ctx context.Context, after int64, _ time.Duration) ([]catalog.Change, int64, error) {
			<-ctx.Done()
			return nil, after, ctx.Err()
		},
	}
}

// startable returns the settings and the surroundings of a box that may run, with
// a seed that nobody listens at.
func startable(name, ip string) (Settings, Adapter) {
	s := Settings{
		Box:     name,
		Region:  "a",
		Domain:  "a",
		IP:      ip,
		Callers: net.JoinHostPort(ip, "0"),
		Seed:    net.JoinHostPort(ip, "0"),
		Seeds:   []string{"127.0.0.1:9"},
		Bounds: Bounds{
			StopWithin: time.Second,
		},
	}
	a := Adapter{
		Codec:  ingress.Codec{},
		Source: atOnce,
		Directory: func(func(host, region string) []string, time.Duration) http.Handler {
			return http.NotFoundHandler()
		},
		Readiness: func(func() bool) http.Handler { return http.NotFoundHandler() },
		Changed:   func() bool { return true },
		Reload:    func() (Settings, error) { return s, nil },
	}
	return s, a
}

func TestABoxThatLearnsThePolicyAtOnceStarts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), startsIn)
	defer cancel()
	for range starts / together {
		var group sync.WaitGroup
		for n := range together {
			group.Go(func() {
				s, a := startable(fmt.Sprint("box-", n), fmt.Sprintf("127.0.0.%d", 2+n))
				b, err := New(s, a) // its ports are 0, so any free ones
				is.NoErr(err)
				ctx, end := context.WithCancel(ctx)
				defer end()
				done := make(chan error, 1)
				go func() { done <- b.Run(ctx) }()
				for b.table.Load() == nil && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				end()
				is.NoErr(<-done)
			})
		}
		group.Wait()
	}
}
