package ingress

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	in := http.Header{
		"Connection":        {"close, X-Hop", "x-other"},
		"X-Hop":             {"1"},
		"X-Other":           {"1"},
		"Keep-Alive":        {"5"},
		"Te":                {"trailers"},
		"Trailer":           {"X-Sum"},
		"Transfer-Encoding": {"chunked"},
		"Upgrade":           {"h2c"},
		"Content-Length":    {"5"},
		"Proxy-Connection":  {"close"},
		"X-Kept":            {"a", "b"},
		"Content-Type":      {"text/plain"},
	}
	is.Equal(endToEndHeaders(in), http.Header{
		"X-Kept":       {"a", "b"},
		"Content-Type": {"text/plain"},
	})
	is.Equal(in.Get("X-Hop"), "1") // the original is unchanged
}

func goodRelay() *relay {
	return &relay{
		Box:     "box-1",
		Region:  "a",
		Version: 7,
		Route: &catalog.Route{
			Name:   "shop",
			Host:   "shop.example",
			Prefix: "/shop/",
			Kind:   catalog.Once,
			Homes:  []string{"b"},
		},
		Service:   "orders",
		LeftMs:    1200,
		Sent:      1,
		LastEvent: "12",
	}
}

func TestARelayIsDecodedAsItWasEncoded(t *testing.T) {
	is := is.New(t)
	got, err := decodeRelay(goodRelay().encode())
	is.NoErr(err)
	is.Equal(got, goodRelay())
}

func TestARelayThatLacksAnythingIsRefused(t *testing.T) {
	for _, field := range []string{"box", "region", "route", "service"} {
		is := is.New(t)
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(goodRelay().encode()), &fields))
		delete(fields, field)
		data, err := json.Marshal(fields)
		is.NoErr(err)
		_, err = decodeRelay(string(data))
		is.True(err != nil) // it must not run with missing fields
	}
	for _, value := range []string{"", "{", "null", "[]", `"x"`, "{}"} {
		is := is.New(t)
		_, err := decodeRelay(value)
		is.True(err != nil)
	}
}

func TestABoxThatDoesNotSayHowOftenItSentCountsAsOnce(t *testing.T) {
	cases := []struct {
		value string
		want  int
	}{
		{"", 1},
		{"x", 1},
		{"-1", 1},
		{"0", 0},
		{"2", 2},
	}
	for _, c := range cases {
		is := is.New(t)
		h := http.Header{}
		h.Set(headerSent, c.value)
		is.Equal(remoteSentCount(h), c.want)
	}
}
