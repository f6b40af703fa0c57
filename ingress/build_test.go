package ingress

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a stream that goes on at a replica which may run another software version.
func TestAStreamOfAReplicaOfUnknownSoftwareVersionIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		for _, u := range g.list {
			u.version = ""
		}
		g.list[0].abortBefore(5)
		a := g.call(t)
		is.True(!a.complete)
		is.Equal(g.runs(), 1)
	})
}
