package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

// Guards against marking boxes as relayed by a digest that isn't sent.
func TestDatagramsWithoutADigestUseUpNoTurn(t *testing.T) {
	is := is.New(t)
	self := wire.BoxStatus{
		Box:    "self",
		Inc:    1,
		Region: "a",
		Peers:  "self:1",
	}
	table := New(self)
	now := time.Second
	receive := func(name, region string, direct bool) {
		table.Receive(wire.BoxStatus{
			Box:    name,
			Inc:    1,
			Seq:    1,
			Region: region,
			Peers:  name + ":1",
		}, direct, now)
	}
	for i := range 12 {
		receive(fmt.Sprint("known-", i), "c", false)
	}
	others := func() []wire.BoxStatus {
		packets := table.Gossip(self, now, func(int) int { return 0 })
		is.True(len(packets) > 0)
		g, err := Decode(packets[0].Buf)
		is.NoErr(err)
		return g.Others
	}
	is.True(len(others()) > 0)
	for _, name := range []string{"new-1", "new-2"} {
		receive(name, "b", true)
	}
	for range digestEvery - 1 {
		is.Equal(len(others()), 0)
	}
	relayed := make(map[string]bool)
	for _, o := range others() {
		relayed[o.Box] = true
	}
	is.True(relayed["new-1"] && relayed["new-2"])
}
