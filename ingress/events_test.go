package ingress

import (
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

// passing returns a call that passes events on, and where they go.
func passing(lastEvent string) (*call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	return &call{
		w:         w,
		start:     time.Now(),
		lastEvent: lastEvent,
	}, w
}

// event returns an event with an id, or without one for 0.
func event(id int, data string) string {
	if id == 0 {
		return "data: " + data + "\n\n"
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

func TestOnlyWholeEventsArePassedOn(t *testing.T) {
	is := is.New(t)
	c, w := passing("")
	rest, err := c.passComplete([]byte(event(1, "a") + "id: 2\nda"))
	is.NoErr(err)
	is.Equal(w.Body.String(), event(1, "a"))
	is.Equal(string(rest), "id: 2\nda")
	is.Equal(c.lastEvent, "1")
	rest, err = c.passComplete([]byte(string(rest) + "ta: b\n\n"))
	is.NoErr(err)
	is.Equal(len(rest), 0)
	is.Equal(w.Body.String(), event(1, "a")+event(2, "b"))
	is.Equal(c.lastEvent, "2")
}

func TestAnEventThatTheCallerHasIsLeftOut(t *testing.T) {
	is := is.New(t)
	c, w := passing("9")
	_, err := c.passComplete([]byte(event(8, "a") + event(9, "b") + event(10, "c") + event(10, "c") + event(11, "d")))
	is.NoErr(err)
	is.Equal(w.Body.String(), event(10, "c")+event(11, "d")) // by number: 10 comes after 9
	is.Equal(c.lastEvent, "11")
}

func TestAnEventWithoutIDIsPassedOn(t *testing.T) {
	is := is.New(t)
	c, w := passing("5")
	_, err := c.passComplete([]byte(event(0, "a") + ": note\n\n" + event(6, "b")))
	is.NoErr(err)
	is.Equal(w.Body.String(), event(0, "a")+": note\n\n"+event(6, "b"))
	is.Equal(c.lastEvent, "6")
}

func TestTheIDOfAnEventIsFoundOnALineOfItsOwn(t *testing.T) {
	cases := []struct{ event, want string }{
		{"id: 12\ndata: x\n\n", "12"},
		{"id:12\ndata: x\n\n", "12"},
		{"data: id: 12\n\n", ""},
		{"data: x\nid: 7\n\n", "7"},
		{"data: x\n\n", ""},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(eventID([]byte(c.event)), c.want)
	}
}

func TestIDsAreComparedAsNumbers(t *testing.T) {
	cases := []struct {
		a, b string
		want bool
	}{
		{"9", "10", true},
		{"10", "9", false},
		{"10", "10", true},
		{"1", "", false}, // the caller has none
		{"x", "1", false},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(notAfter(c.a, c.b), c.want)
	}
}

// TestAStreamCutAnywhereIsPassedOnOnceAndInOrder joins runs that each begin
// anywhere up to the last event passed on, and come in pieces of any size.
func TestAStreamCutAnywhereIsPassedOnOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		c, w := passing("")
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
				cut = len(whole) // the last run is whole
			}
			passPieces(t, c, whole[:cut])
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

// passPieces passes text on in pieces; what is torn at its end is dropped.
func passPieces(t *rapid.T, c *call, text string) {
	var held []byte
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		held = append(held, text[:n]...)
		text = text[n:]
		var err error
		if held, err = c.passComplete(held); err != nil {
			t.Fatal(err)
		}
	}
}

func TestEventsMayEndTheirLinesWithCarriageReturns(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		held string
		want int
	}{
		{"", -1},
		{"id: 1\n", -1},
		{"id: 1\r\n\r", -1},
		{"id: 1\n\n", 7},
		{"id: 1\r\n\r\n", 9},
		{"id: 1\r\ndata: a\r\n\r\nid: 2", 18},
		{"\n\n", 2},
	}
	for _, c := range cases {
		is.Equal(eventEnd([]byte(c.held)), c.want)
	}
}
