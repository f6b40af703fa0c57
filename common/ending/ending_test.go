package ending

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestOnlyAnEndThatWasNotPlannedHasACause(t *testing.T) {
	is := is.New(t)
	fault := errors.New("listener closed")
	for _, c := range []struct{ cause, want error }{
		{nil, nil}, // told to end
		{context.Canceled, nil},
		{ErrPlanned, nil},
		{errors.Wrap(ErrPlanned, "box"), nil},
		{fault, fault},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(c.cause)
		is.True(errors.Is(Cause(ctx), c.want))
		is.Equal(Cause(ctx) == nil, c.want == nil)
	}
}
