package poison

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatWasServedIsSoForAWhileAndRememberedLonger(t *testing.T) {
	is := is.New(t)
	p := NewServed()
	is.True(!p.Before(&deadly))
	p.Add(&deadly, start)
	is.True(p.Lately(&deadly, start+latelyFor))
	is.True(!p.Lately(&deadly, start+latelyFor+1))
	other := Content{}
	p.Add(&other, start+servedFor+1)
	is.True(p.Before(&deadly))
	p.Add(&other, start+2*servedFor+2)
	is.True(!p.Before(&deadly))
}

func TestServedIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewServed()
	for i := range 10 * maxServed {
		c := Content{
			Target: fmt.Sprint(i),
		}
		p.Add(&c, start)
		is.True(len(p.young)+len(p.old) <= 2*maxServed)
	}
}

// BenchmarkServed measures what a whole answer to a request of 64 KB costs.
func BenchmarkServed(b *testing.B) {
	p := NewServed()
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
