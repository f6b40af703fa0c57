package poison

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func ExampleContent_Digest() {
	c := Content{
		Method: "POST",
		Host:   "shop.example",
		Target: "/chat/1",
		Body:   []byte("two loaves"),
	}
	fmt.Println(c.Digest())
	// Output: 50fd6db2f076bccb700fc444d0b66b56
}

func drawContent(t *rapid.T) Content {
	text := rapid.StringMatching("[ab]{0,3}")
	return Content{
		Method: text.Draw(t, "method"),
		Host:   text.Draw(t, "host"),
		Target: text.Draw(t, "target"),
		Caller: text.Draw(t, "caller"),
		Body:   []byte(text.Draw(t, "body")),
	}
}

func TestOnlyTheSameContentHasTheSameDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := drawContent(t), drawContent(t)
		same := a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && a.Caller == b.Caller && bytes.Equal(a.Body, b.Body)
		is.Equal(a.Digest() == b.Digest(), same)
	})
}

func BenchmarkDigest(b *testing.B) {
	c := Content{
		Method: "POST",
		Host:   "shop.example",
		Target: "/chat/1",
		Body:   bytes.Repeat([]byte("two loaves "), 64<<10/11),
	}
	b.SetBytes(int64(len(c.Body)))
	b.ReportAllocs()
	for b.Loop() {
		c.digest = nil
		c.Digest()
	}
}
