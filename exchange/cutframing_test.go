package exchange

import (
	"net/http"
	"testing"
)

// cutFramings are responses to another request. net/http deletes Content-Length beside Transfer-Encoding, and
// Transfer-Encoding in HTTP/1.0.
var cutFramings = []struct{ name, answer string }{
	{"length before the ID", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\nId: 1\r\n\r\n"},
	{"coding in HTTP/1.0", "HTTP/1.0 503 Service Unavailable\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n"},
}

// Guards against a rejection, cut within a field that net/http deletes, whose status is taken for that of
// the next response.
func TestARejectionThatIsCutWithinItsFramingIsNotJoinedToTheAnswerAfterIt(t *testing.T) {
	for _, first := range cutFramings {
		for _, own := range wholeAnswers[:10] {
			t.Run(first.name+" before "+own.name, func(t *testing.T) {
				for cut := range first.answer {
					a, body, _, err := bring(t, []byte(first.answer[:cut]+own.answer))
					if err == nil && a.Status() == http.StatusServiceUnavailable && own.name != "rejection" {
						t.Errorf("after %q: %d %v, body %q", first.answer[:cut], a.Status(), a.Header(), body)
					}
				}
			})
		}
	}
}
