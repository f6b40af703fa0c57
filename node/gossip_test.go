package node

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/wire"
)

// A status in a message that is not sent would have lost its turn: boxes of other
// regions that were just heard would be passed on only after all others.
func TestMessagesWithoutOtherBoxesTakeNoTurnFromThem(t *testing.T) {
	is := is.New(t)
	s, a := startable("box", "127.0.0.1")
	system := cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { t.Error(reason) })
	n := &Node{
		settings: s,
		adapter:  a,
		started:  time.Now(),
		log:      decision.New("box", io.Discard),
	}
	n.state = cell.New(t.Context(), system, "state", newState(s, n.status(), n.now()))
	hear := func(name, region string, seq int, direct bool) {
		is.NoErr(n.state.Do(func(s *state) {
			s.roster.Hear(wire.BoxStatus{
				Box:    name,
				Inc:    1,
				Seq:    seq,
				Region: region,
			}, direct, n.now())
		}))
	}
	for i := range 20 {
		hear(fmt.Sprint("known-", i), "c", 1, false)
	}
	n.message(true)
	for _, name := range []string{"new-1", "new-2"} {
		hear(name, "b", 1, true)
	}
	for range passEvery - 1 {
		is.Equal(len(n.message(false).Others), 0)
	}
	passed := make(map[string]bool)
	for _, o := range n.message(true).Others {
		passed[o.Box] = true
	}
	is.True(passed["new-1"] && passed["new-2"])
}
