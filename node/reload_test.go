package node

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/wire"
)

// reloading runs a box's look at its settings for some seconds, with a word to
// reload them at the end, and returns how often they were read.
func reloading(t *testing.T, changed func() bool, fail error) int {
	t.Helper()
	reads := 0
	synctest.Test(t, func(t *testing.T) {
		s, a := runnableBox("box", "127.0.0.1")
		a.Changed = changed
		a.Reload = func() (Settings, error) {
			reads++
			return s, fail
		}
		system := cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { t.Error(reason) })
		n := &Node{
			adapter: a,
			bounds:  s.Bounds,
			told:    make(chan struct{}, 1),
			log:     decision.New("box", io.Discard),
			state:   cell.New(t.Context(), system, "state", newState(s, wire.BoxStatus{}, 0)),
		}
		n.runReload(t.Context())
		time.Sleep(10*reloadLook + reloadLook/2)
		n.Reload()
		synctest.Wait()
	})
	return reads
}

func TestSettingsAreReadWhenTheyMayHaveChanged(t *testing.T) {
	is := is.New(t)
	is.Equal(reloading(t, func() bool { return false }, nil), 1) // when told so
	is.Equal(reloading(t, func() bool { return true }, nil), 11)
	asked := 0
	once := func() bool {
		asked++
		return asked == 3
	}
	is.Equal(reloading(t, once, nil), 2)
	asked = 0
	is.Equal(reloading(t, once, errors.New("cut")), 9) // until they can be read
}
