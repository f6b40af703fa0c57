package absence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEachAbsenceTakesTwiceAsLongUpToABound(t *testing.T) {
	is := is.New(t)
	var a Absence
	is.True(!a.On(0))
	now := time.Minute
	for _, seconds := range []time.Duration{1, 2, 4, 8, 8} {
		a.Begin(now)
		is.Equal(a.Until(), now+seconds*time.Second)
		is.True(a.On(now))
		is.True(a.On(a.Until() - 1))
		is.True(!a.On(a.Until()))
		now = a.Until() + time.Hour
	}
	a.Begin(now)
	a.Begin(now + time.Second) // while it is on
	is.Equal(a.Until(), now+9*time.Second)
	a = Absence{}
	a.Begin(now)
	is.Equal(a.Until(), now+time.Second) // as at first
}
