// Package heads examines the heads of HTTP/1 responses.
package heads

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// statusLine matches the first line of a response (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}( |$)`)

// Joined reports whether a head holds the first line of another one, in its reason phrase or its
// fields. A server that cuts a response and continues with the next one on the same connection sends
// such heads: the status, or some fields, belong to the response that was cut.
func Joined(resp *http.Response) bool {
	if holdsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	for name := range resp.Trailer {
		if holdsStatusLine(name) {
			return true
		}
	}
	return false
}

func holdsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/") && statusLine.MatchString(s)
}
