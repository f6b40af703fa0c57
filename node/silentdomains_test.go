package node

import (
	"testing"

	"github.com/matryer/is"
)

func TestOnlyChangesOfSilentDomainsAreRecorded(t *testing.T) {
	is := is.New(t)
	is.Equal(difference([]string{"a", "b"}, []string{"b", "c"}), []string{"a"})
	is.Equal(len(difference(nil, []string{"b"})), 0)
	is.Equal(len(difference([]string{"b"}, []string{"b"})), 0)
}
