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

// countReloads polls the settings of a box for some seconds, requests a reload at the end, and
// returns how often they were read.
func countReloads(t *testing.T, changed func() bool, fail error) int {
	t.Helper()
	reads := 0
	synctest.Test(t, func(t *testing.T) {
		s, a := runnableBox("box", "127.0.0.1")
		a.SettingsChanged = changed
		a.ReadSettings = func() (Settings, error) {
			reads++
			return s, fail
		}
		system := cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { t.Error(reason) })
		n := &Node{
			adapter:        a,
			bounds:         s.Bounds,
			reloadRequests: make(chan struct{}, 1),
			log:            decision.New("box", io.Discard),
			state:          cell.New(t.Context(), system, "state", newState(s, wire.BoxStatus{}, 0)),
		}
		n.runReload(t.Context())
		time.Sleep(10*reloadInterval + reloadInterval/2)
		n.Reload()
		synctest.Wait()
	})
	return reads
}

func TestSettingsAreReadWhenTheyMayHaveChanged(t *testing.T) {
	is := is.New(t)
	is.Equal(countReloads(t, func() bool { return false }, nil), 1) // on request
	is.Equal(countReloads(t, func() bool { return true }, nil), 11)
	asked := 0
	once := func() bool {
		asked++
		return asked == 3
	}
	is.Equal(countReloads(t, once, nil), 2)
	asked = 0
	is.Equal(countReloads(t, once, errors.New("cut")), 9) // until they can be read
}
