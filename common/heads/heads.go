// Package heads examines the heads of HTTP/1 responses.
package heads

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
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

// ErrStatusLine is the error of a Finder that has received the first line of a response.
var ErrStatusLine = errors.New("a body holds the first line of a response")

// maxStatusLine is the length of what statusLine matches.
const maxStatusLine = len("HTTP/1.1 200 ")

// Finder is a writer that fails with ErrStatusLine once the first line of a response has been written to it.
type Finder struct {
	end []byte // of what was written
}

// Write looks for the first line of a response in p and what was written before.
func (f *Finder) Write(p []byte) (int, error) {
	f.end = append(f.end, p...)
	if bytes.Contains(f.end, []byte("HTTP/")) && statusLine.Match(f.end) {
		return 0, ErrStatusLine
	}
	f.end = append(f.end[:0], f.end[max(len(f.end)-maxStatusLine+1, 0):]...)
	return len(p), nil
}
