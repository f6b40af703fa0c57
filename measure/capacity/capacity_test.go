package capacity

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestThePageIsWorkedOutFromTheSlopes(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("../../docs/measured/slopes.jsonl")
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	slopes, order, err := Read(f)
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/measured/capacity.md")
	is.NoErr(err)
	want, err := Page(string(page), Letter(), slopes, order)
	is.NoErr(err)
	is.Equal(string(page), want) // run: go run ./cmd/rudderctl measure capacity
}

func TestASlopeMovesItsRolesOnly(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("../../docs/measured/slopes.jsonl")
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	slopes, _, err := Read(f)
	is.NoErr(err)
	before := Roles(Letter(), slopes)
	dearer := slopes["token_cpu"]
	dearer.Value *= 2
	slopes["token_cpu"] = dearer
	after := Roles(Letter(), slopes)
	for i := range before {
		if before[i].Name == "entry relay" {
			is.True(after[i].CPU > before[i].CPU)
			continue
		}
		is.Equal(after[i].Memory, before[i].Memory)
	}
}
