package poison

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAProofHoldsForAWhileAndIsRememberedLonger(t *testing.T) {
	is := is.New(t)
	p := NewProofs()
	is.True(!p.Had(&guilty))
	p.Add(&guilty, start)
	is.True(p.Has(&guilty, start+provedFor))
	is.True(!p.Has(&guilty, start+provedFor+1))
	other := Content{}
	p.Add(&other, start+keptFor+1)
	is.True(p.Had(&guilty))
	p.Add(&other, start+2*keptFor+2)
	is.True(!p.Had(&guilty))
}

func TestProofsAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewProofs()
	for i := range 10 * maxProofs {
		c := Content{
			Target: fmt.Sprint(i),
		}
		p.Add(&c, start)
		is.True(len(p.young)+len(p.old) <= 2*maxProofs)
	}
}

// BenchmarkProof measures what a whole answer to a request of 64 KB costs.
func BenchmarkProof(b *testing.B) {
	p := NewProofs()
	c := Content{
		Target: "/chat/1",
		Body:   bytes.Repeat([]byte("two loaves "), 64<<10/11),
	}
	b.SetBytes(int64(len(c.Body)))
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		p.Add(&c, now)
	}
}
