package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/wire"
)

func benchmarkPlace(b *testing.B, replicas int) {
	f := serving(14, time.Second)
	f.TakeList(2, list("a", 14, replicas), time.Second)
	policy := bundle.NewPolicy(wire.Bundle{})
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		p, refused := f.Place(Request{
			Org:     wire.Organisation{Name: "o", Share: 1},
			Service: wire.Service{Name: "s"},
			Policy:  policy,
			Routing: routing.Request{
				PrefixKey:  fmt.Sprintf("prefix-%d", i%600),
				RequestKey: fmt.Sprintf("id-%d", i),
				Prefill:    300 * time.Millisecond,
				QueueRatio: 0.5,
			},
		}, time.Second)
		if refused != nil {
			b.Fatal(refused.Code)
		}
		f.Start(p, Started{}, time.Second)
		f.End(p, Finish{Started: true}, time.Second)
	}
}

func BenchmarkPlace364(b *testing.B) { benchmarkPlace(b, 364) }

func BenchmarkPlace4000(b *testing.B) { benchmarkPlace(b, 4000) }
