package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func ExampleDecide() {
	choice := Decide(Request{
		Prefill:    time.Second,
		QueueRatio: 0.5,
	}, []Replica{
		{Name: "cold", Slots: 4},
		{Name: "warm", Slots: 4, Cached: true},
		{Name: "leaving", Slots: 4, Leaving: true},
	}, true)
	fmt.Println(choice.Name, choice.Rejected)
	// Output: warm [{cold slower} {leaving leaving}]
}

func drawReplicas(t *rapid.T) []Replica {
	n := rapid.IntRange(0, 30).Draw(t, "replicas")
	out := make([]Replica, n)
	for i := range out {
		out[i] = Replica{
			Name:           fmt.Sprintf("r%d", i),
			Load:           rapid.IntRange(-2, 40).Draw(t, "load"),
			Slots:          rapid.IntRange(0, 24).Draw(t, "slots"),
			PendingPrefill: time.Duration(rapid.IntRange(0, 5000).Draw(t, "pending")) * time.Millisecond,
			Slowdown:       rapid.Float64Range(0, 20).Draw(t, "slow"),
			ServiceTime:    time.Duration(rapid.IntRange(0, 9000).Draw(t, "hold")) * time.Millisecond,
			Cached:         rapid.Bool().Draw(t, "warm"),
			Leaving:        rapid.Bool().Draw(t, "leaving"),
			Ejected:        rapid.Bool().Draw(t, "out"),
			Attempted:      rapid.Bool().Draw(t, "tried"),
		}
	}
	return out
}

// Guards against unusable or nondeterministic choices and rejections without a reason.
func TestADecisionIsAllowedRepeatableAndExplained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := drawReplicas(t)
		req := Request{
			PrefixKey:  rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "affinity"),
			RequestKey: rapid.SampledFrom([]string{"", "x"}).Draw(t, "spread"),
			Prefill:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "prefill")) * time.Millisecond,
			MaxTTFT:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "bound")) * time.Millisecond,
			QueueRatio: 0.5,
		}
		c := Decide(req, replicas, true)
		again := Decide(req, replicas, true)
		if c.Name != again.Name || c.ExpectedTTFT != again.ExpectedTTFT {
			t.Fatalf("nondeterministic choice: %v, then %v", c, again)
		}
		reasons := make(map[string]Reason)
		for _, r := range c.Rejected {
			if _, ok := reasons[r.Name]; ok {
				t.Fatalf("%s rejected twice", r.Name)
			}
			reasons[r.Name] = r.Reason
		}
		for _, r := range replicas {
			usable := !r.Leaving && !r.Ejected && !r.Attempted && r.Load < MaxLoad(r.Slots, req.QueueRatio)
			if r.Name == c.Name && (!usable || (req.MaxTTFT > 0 && c.ExpectedTTFT > req.MaxTTFT)) {
				t.Fatalf("%+v was chosen with an expected time to first token of %s", r, c.ExpectedTTFT)
			}
			if r.Name != c.Name && reasons[r.Name] == "" {
				t.Fatalf("%s was rejected without a reason", r.Name)
			}
			if c.Name == "" && usable && reasons[r.Name] != DeadlineExceeded {
				t.Fatalf("%+v was not chosen: %s", r, reasons[r.Name])
			}
		}
	})
}

func TestAPrefixMovesOnlyWhenItsReplicaIsCrowded(t *testing.T) {
	is := is.New(t)
	replicas := make([]Replica, 10)
	for i := range replicas {
		replicas[i] = Replica{
			Name:        fmt.Sprintf("r%d", i),
			Slots:       10,
			ServiceTime: 4 * time.Second,
		}
	}
	req := Request{
		PrefixKey:  "prefix",
		Prefill:    300 * time.Millisecond,
		QueueRatio: 0.5,
	}
	home := Decide(req, replicas, false).Name
	var at int
	for i := range replicas {
		if replicas[i].Name == home {
			at = i
		}
	}
	replicas[at].Cached = true
	replicas[at].Load = 6
	is.Equal(Decide(req, replicas, false).Name, home)
	replicas[at].Load = 10
	is.True(Decide(req, replicas, false).Name != home)
}

func benchmark(b *testing.B, n int) {
	replicas := make([]Replica, n)
	for i := range replicas {
		replicas[i] = Replica{
			Name:  fmt.Sprintf("engine-%d", i),
			Slots: 24,
			Load:  i % 24,
		}
	}
	req := Request{
		PrefixKey:  "org/prefix",
		RequestKey: "id",
		Prefill:    300 * time.Millisecond,
		QueueRatio: 0.5,
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(req, replicas, false)
	}
}

func BenchmarkDecide364(b *testing.B) { benchmark(b, 364) }

func BenchmarkDecide1000(b *testing.B) { benchmark(b, 1000) }

func BenchmarkDecide4000(b *testing.B) { benchmark(b, 4000) }
