package ingress

import (
	"testing"

	"github.com/matryer/is"
)

func TestCallersOfABoxThatEndsComeBackSoonWhereAnotherServes(t *testing.T) {
	is := is.New(t)
	others := false
	s := &Server{
		core: Hooks{
			OtherBoxServing: func() bool { return others },
		},
	}
	is.Equal(s.retryAfterStop(), retryAfterStopping)
	others = true
	is.Equal(s.retryAfterStop(), minRetryAfter)
}
