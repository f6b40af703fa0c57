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
	startCount       = 300 // of boxes, to vary the order of tasks
	concurrentStarts = 8
	startTestTimeout = 60 * time.Second
)

// immediateSource is a source that answers at once.
func immediateSource(*exchange.Pool, SourceEvents) catalog.Source {
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

// runnableBox returns the settings and the adapter of a box with a seed that does not answer.
func runnableBox(name, ip string) (Settings, Adapter) {
	s := Settings{
		Box:        name,
		Region:     "a",
		Domain:     "a",
		IP:         ip,
		CallerAddr: net.JoinHostPort(ip, "0"),
		SeedAddr:   net.JoinHostPort(ip, "0"),
		Seeds:      []string{"127.0.0.1:9"},
		Bounds: Bounds{
			StopTimeout: time.Second,
		},
	}
	a := Adapter{
		Codec:  ingress.Codec{},
		Source: immediateSource,
		Directory: func(func(host, region string) []string, time.Duration) http.Handler {
			return http.NotFoundHandler()
		},
		Readiness:       func(func() bool) http.Handler { return http.NotFoundHandler() },
		SettingsChanged: func() bool { return true },
		ReadSettings:    func() (Settings, error) { return s, nil },
	}
	return s, a
}

func TestABoxThatLearnsThePolicyAtOnceStarts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), startTestTimeout)
	defer cancel()
	for range startCount / concurrentStarts {
		var group sync.WaitGroup
		for n := range concurrentStarts {
			group.Go(func() {
				s, a := runnableBox(fmt.Sprint("box-", n), fmt.Sprintf("127.0.0.%d", 2+n))
				b, err := New(s, a) // with ephemeral ports
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
