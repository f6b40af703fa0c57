package placement_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/placement"
)

func TestAnIdleEngineTakesALargePromptOfTheLeastUrgentToo(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	req := newRequest("engine", "r-1")
	req.Prompt = 80_000 // of 100,000
	req.Rank = 1
	is.Equal(b.Pick(req, alone, start).Reason, placement.None)
	is.Equal(b.Pick(req, alone, start).Reason, placement.Full) // no capacity for two
}

func TestALargePromptOfTheLeastUrgentWaitsIfMuchMemoryIsInUse(t *testing.T) {
	for tokens, want := range map[int]placement.Reason{
		20_000: placement.None,
		30_000: placement.Full,
	} {
		is := is.New(t)
		b := newBox("a", "hall", replicas("engine", 1)...)
		b.RecordPeerLoads("b", []placement.OwnLoad{{
			Incarnation: "engine-0",
			Load: placement.Load{
				Requests: 1,
				Tokens:   tokens,
			},
		}}, start)
		req := newRequest("engine", "r-1")
		req.Prompt = 60_000 // of 100,000
		req.Rank = 1
		is.Equal(b.Pick(req, alone, start).Reason, want)
	}
}

func TestTheLeastUrgentLeaveMemoryToMoreUrgentRequests(t *testing.T) {
	cases := []struct {
		name   string
		tokens int // of 100,000, held by another box's requests
		rank   float64
		want   placement.Reason
	}{
		{"room for all", 50_000, 1, placement.None},
		{"the least urgent wait", 60_000, 1, placement.Full},
		{"others don't yet", 60_000, 0.5, placement.None},
		{"they wait later", 80_000, 0.5, placement.Full},
		{"the most urgent don't", 80_000, 0, placement.None},
		{"full for all", 97_000, 0, placement.Full},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBox("a", "hall", replicas("engine", 1)...)
			b.RecordPeerLoads("b", []placement.OwnLoad{{
				Incarnation: "engine-0",
				Load: placement.Load{
					Requests: 1,
					Tokens:   c.tokens,
				},
			}}, start)
			req := newRequest("engine", "r-1")
			req.Prompt = 1000
			req.Rank = c.rank
			is.Equal(b.Pick(req, alone, start).Reason, c.want)
		})
	}
}
