package plot

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/measure/policy"
)

func TestOursIsComparedWithTheBestOfTheSameSeed(t *testing.T) {
	is := is.New(t)
	c := compared{
		ours: make(map[uint64]float64),
		best: make(map[uint64]float64),
	}
	for _, r := range []policy.Row{
		{Policy: "havenrudder", Seed: 1, P99: 100},
		{Policy: "random", Seed: 1, P99: 400},
		{Policy: "round_robin", Seed: 1, P99: 200},
		{Policy: "havenrudder", Seed: 2, P99: 300},
		{Policy: "random", Seed: 2, P99: 600},
	} {
		c.add(r)
	}
	is.Equal(c.ratio(), 0.5)
}

func TestARowIsDrawn(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	rows := `{"boxes": 12, "variant": "havenrudder", "platform_reads_per_s": 2}
{"boxes": 48, "variant": "havenrudder", "platform_reads_per_s": 8}`
	is.NoErr(Bundle(strings.NewReader(rows), &out))
	is.True(strings.Contains(out.String(), "<svg"))
	is.True(Bundle(strings.NewReader("{"), &out) != nil)
}
