package node

import (
	"testing"

	"github.com/matryer/is"
)

func TestOnlyWhatChangedOfTheSilentDomainsIsWrittenDown(t *testing.T) {
	is := is.New(t)
	is.Equal(without([]string{"a", "b"}, []string{"b", "c"}), []string{"a"})
	is.Equal(len(without(nil, []string{"b"})), 0)
	is.Equal(len(without([]string{"b"}, []string{"b"})), 0)
}
