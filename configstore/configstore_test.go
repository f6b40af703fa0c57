package configstore_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/internal/fakes"
)

// watched runs f with a client of a stand-in, in virtual time.
func watched(t *testing.T, f func(is *is.I, p *fakes.Platform, c *configstore.Client, reads map[string]int)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork()
		l, err := n.Listen("platform")("tcp", "")
		is.NoErr(err)
		p := fakes.NewPlatform()
		s := &http.Server{
			Handler: p,
		}
		go func() { _ = s.Serve(l) }()
		transport := &http.Transport{
			DialContext: n.Dial("reader"),
		}
		reads := make(map[string]int)
		c := configstore.New([]string{"http://" + l.Addr().String()}, "havenrudder",
			configstore.WithHTTP(&http.Client{
				Transport: transport,
			}),
			configstore.WithWait(10*time.Second),
			configstore.WithJitter(func() float64 { return 0.5 }),
			configstore.WithReads(func(kind string) { reads[kind]++ }))
		f(is, p, c, reads)
		transport.CloseIdleConnections()
		_ = s.Close()
		time.Sleep(time.Minute)
	})
}

func TestAWatchSeesEveryValueAndCountsAsFewCalls(t *testing.T) {
	watched(t, func(is *is.I, p *fakes.Platform, c *configstore.Client, reads map[string]int) {
		ctx, cancel := context.WithCancel(context.Background())
		p.Put("head", []byte("one"))
		var got []string
		go c.Watch(ctx, "head", func(v configstore.Value) { got = append(got, string(v.Data)) })
		time.Sleep(25 * time.Second)
		p.Put("head", []byte("two"))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(got, []string{"one", "two"})
		is.True(reads["watch"] <= 5) // one at once, then one for each 10 s, one for the change
	})
}

func TestAnOlderAnswerIsLeftOutAndCounted(t *testing.T) {
	watched(t, func(is *is.I, p *fakes.Platform, c *configstore.Client, reads map[string]int) {
		ctx, cancel := context.WithCancel(context.Background())
		p.Put("head", []byte("old"))
		p.Freeze()
		p.Put("head", []byte("new"))
		p.Thaw()
		var got []string
		go c.Watch(ctx, "head", func(v configstore.Value) { got = append(got, string(v.Data)) })
		time.Sleep(time.Second)
		p.Relapse()
		time.Sleep(time.Minute)
		p.Thaw()
		p.Put("head", []byte("newest"))
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(got, []string{"new", "newest"})
		is.True(reads["older"] > 0)
		is.True(reads["watch"] < 60) // it backs off from a replica that has fallen behind
	})
}

func TestAPlatformThatIsDownIsAskedLessAndLessOften(t *testing.T) {
	watched(t, func(is *is.I, p *fakes.Platform, c *configstore.Client, reads map[string]int) {
		ctx, cancel := context.WithCancel(context.Background())
		p.Put("head", []byte("one"))
		p.SetDown(true)
		var got []string
		go c.Watch(ctx, "head", func(v configstore.Value) { got = append(got, string(v.Data)) })
		time.Sleep(5 * time.Minute)
		is.True(reads["watch"] < 80)
		p.SetDown(false)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(got, []string{"one"})
	})
}

func ExampleNew() {
	c := configstore.New([]string{"http://127.0.0.1:8500"}, "havenrudder", configstore.WithWait(time.Minute))
	fmt.Printf("%T\n", c)
	// Output: *configstore.Client
}
