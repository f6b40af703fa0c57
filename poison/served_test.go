package poison

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestServedRequestsExpire(t *testing.T) {
	is := is.New(t)
	p := NewServed()
	is.True(!p.WasServed(&poisonous))
	p.Add(&poisonous, testStart)
	is.True(p.ServedRecently(&poisonous, testStart+recentWindow))
	is.True(!p.ServedRecently(&poisonous, testStart+recentWindow+1))
	other := Content{}
	p.Add(&other, testStart+generationTTL+1)
	is.True(p.WasServed(&poisonous))
	p.Add(&other, testStart+2*generationTTL+2)
	is.True(!p.WasServed(&poisonous))
}

func TestServedIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewServed()
	for i := range 10 * maxPerGeneration {
		c := Content{
			Target: fmt.Sprint(i),
		}
		p.Add(&c, testStart)
		is.True(len(p.current)+len(p.previous) <= 2*maxPerGeneration)
	}
}

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
