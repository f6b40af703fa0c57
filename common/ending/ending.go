// Package ending tells a planned end of a box from one that something has caused, and ends
// servers as planned.
package ending

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrPlanned is the cause of the end of a box whose planned stop is over.
var ErrPlanned = errors.New("stopped as planned")

// Cause returns why a context ended, nil when that was planned or the box was told
// to end at once.
func Cause(ctx context.Context) error {
	err := context.Cause(ctx)
	if errors.Is(err, context.Canceled) || errors.Is(err, ErrPlanned) {
		return nil
	}
	return err
}
