package ingress

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/events"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

// newStreamCall returns a call that forwards events, and the recorder that receives them.
func newStreamCall(lastEvent string) (*call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	return &call{
		w:         w,
		start:     clock.Now(),
		lastEvent: lastEvent,
	}, w
}

// event returns an event with the ID, or without one for 0.
func event(id int, data string) string {
	if id == 0 {
		return "data: " + data + "\n\n"
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

// chunkReader returns one chunk of a stream per read.
type chunkReader struct {
	list   []string
	before func(left int) // called before each read with the number of chunks left
}

func (p *chunkReader) Read(buf []byte) (int, error) {
	p.before(len(p.list))
	if len(p.list) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.list[0])
	p.list = p.list[1:]
	return n, nil
}

// copyChunks forwards a stream that arrives in chunks, and returns the rest.
func copyChunks(c *call, before func(left int), list ...string) (string, error) {
	in := events.NewReader(&chunkReader{
		list:   list,
		before: before,
	})
	defer in.Close()
	err := c.copyEvents(in)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return string(in.Rest()), err
}

func noCheck(int) {}

func TestOnlyWholeEventsArePassedOn(t *testing.T) {
	is := is.New(t)
	c, w := newStreamCall("")
	rest, err := copyChunks(c, func(left int) {
		switch left {
		case 1:
			is.Equal(w.Body.String(), event(1, "a"))
			is.Equal(c.lastEvent, "1")
		case 0:
			is.Equal(w.Body.String(), event(1, "a")+event(2, "b"))
			is.Equal(c.lastEvent, "2")
		}
	}, event(1, "a")+"id: 2\nda", "ta: b\n\nid: 3\nda")
	is.NoErr(err)
	is.Equal(w.Body.String(), event(1, "a")+event(2, "b"))
	is.Equal(rest, "id: 3\nda")
	is.Equal(c.lastEvent, "2")
}

func TestAnEventThatTheCallerHasIsLeftOut(t *testing.T) {
	is := is.New(t)
	c, w := newStreamCall("9")
	_, err := copyChunks(c, noCheck, event(8, "a")+event(9, "b")+event(10, "c")+event(10, "c")+event(11, "d"))
	is.NoErr(err)
	is.Equal(w.Body.String(), event(10, "c")+event(11, "d")) // in numeric order: 10 comes after 9
	is.Equal(c.lastEvent, "11")
}

func TestAnEventWithoutIDIsPassedOn(t *testing.T) {
	is := is.New(t)
	c, w := newStreamCall("5")
	_, err := copyChunks(c, noCheck, event(0, "a")+": note\n\n"+event(6, "b"))
	is.NoErr(err)
	is.Equal(w.Body.String(), event(0, "a")+": note\n\n"+event(6, "b"))
	is.Equal(c.lastEvent, "6")
}

// Guards against lost, repeated and reordered events where interrupted runs overlap.
func TestAStreamCutAnywhereIsPassedOnOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		c, w := newStreamCall("")
		for run := 0; ; run++ {
			has, _ := strconv.Atoi(c.lastEvent) // none is 0
			from := rapid.IntRange(0, has).Draw(t, "from")
			var text strings.Builder
			for n := from + 1; n <= total; n++ {
				text.WriteString(event(n, fmt.Sprintf("piece %d", n)))
			}
			whole := text.String()
			cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
			if run == 4 {
				cut = len(whole) // the last run is complete
			}
			passChunks(t, c, whole[:cut])
			if run == 4 {
				break
			}
		}
		var want strings.Builder
		for n := range total {
			want.WriteString(event(n+1, fmt.Sprintf("piece %d", n+1)))
		}
		if got := w.Body.String(); got != want.String() {
			t.Fatalf("passed on %q, want %q", got, want.String())
		}
	})
}

// passChunks forwards text in chunks; an incomplete event at its end is dropped.
func passChunks(t *rapid.T, c *call, text string) {
	var list []string
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		list = append(list, text[:n])
		text = text[n:]
	}
	if _, err := copyChunks(c, noCheck, list...); err != nil {
		t.Fatal(err)
	}
}
