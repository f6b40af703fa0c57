package heads

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func TestAHeadThatHoldsTheFirstLineOfAnotherIsJoined(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	cases := []struct {
		name, response string
		want           bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nA: b\r\n" + chunked, false},
		{"first line", "HTTP/1.1 421 MisdHTTP/1.1 200 OK\r\n" + chunked, true},
		{"first line without a reason", "HTTP/1.1 421 HTTP/1.0 200\r\n" + chunked, true},
		{"field", "HTTP/1.1 421 Misdirected\r\nA: bHTTP/1.1 200 OK\r\n" + chunked, true},
		{"second field of a name", "HTTP/1.1 421 Misdirected\r\nA: b\r\nA: HTTP/1.1 200 OK\r\n" + chunked, true},
		{"trailer", "HTTP/1.1 421 Misdirected\r\nTrailer: SumHTTP/1.1 200 OK\r\n" + chunked, true},
		{"version alone", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n" + chunked, false},
		{"long number", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 2000\r\n" + chunked, false},
		{"short number", "HTTP/1.1 200 OK\r\nVia: a (HTTP/1.1 20)\r\n" + chunked, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tc.response)), nil)
			is.NoErr(err)
			is.Equal(Joined(resp), tc.want)
		})
	}
}

func TestAFirstLineIsFoundHoweverABodyIsRead(t *testing.T) {
	const body = "abc HTTP/1.1 HTTP/1.1 503 Service Unavailable\r\n"
	for size := 1; size <= len(body); size++ {
		is := is.New(t)
		var f Finder
		var err error
		for rest := body; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
			_, err = f.Write([]byte(rest[:min(size, len(rest))]))
		}
		is.Equal(err, ErrStatusLine)
	}
}

func TestABodyWithoutAFirstLineIsWrittenToItsEnd(t *testing.T) {
	is := is.New(t)
	var f Finder
	n, err := io.Copy(&f, strings.NewReader(strings.Repeat("HTTP/1.1 ok ", 10_000)))
	is.NoErr(err)
	is.Equal(n, int64(120_000))
	is.True(len(f.end) < maxStatusLine)
}
