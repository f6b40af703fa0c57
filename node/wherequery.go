package node

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/placement"
)

// WherePath is the path on the metrics address at which a box answers where a request would go now. Its
// parameters are route, and optionally organisation, request (an id), segments (ID:TOKENS, separated by
// commas), tokens (of the whole prompt) and deadline_ms. An answer with status 200 is a Where, any other
// one a WhereError.
const WherePath = "/debug/where"

// WhereError is why there is no answer.
type WhereError struct {
	Error string `json:"error"`
}

const (
	maxSegments = 64
	maxTokens   = 10_000_000
	maxDeadline = time.Hour
)

// whereQuery is a question where a request would go.
type whereQuery struct {
	route        string
	organisation string // empty for none
	request      string // id, by which requests are spread
	segments     []placement.Segment
	tokens       int
	deadline     time.Duration // 0 for that of the route
}

var whereParameters = []string{"route", "organisation", "request", "segments", "tokens", "deadline_ms"}

// parseWhereQuery reads and checks the parameters of a question.
func parseWhereQuery(v url.Values) (q whereQuery, err error) {
	for name, values := range v {
		if !slices.Contains(whereParameters, name) || len(values) != 1 {
			return q, errors.Newf("parameter %.40q is unknown or given twice", name)
		}
	}
	q.route = v.Get("route")
	q.organisation = v.Get("organisation")
	q.request = v.Get("request")
	if q.route == "" {
		return q, errors.New("parameter route is needed")
	}
	if q.segments, err = parseSegments(v.Get("segments")); err != nil {
		return q, err
	}
	request := placement.Request{
		Segments: q.segments,
	}
	shared := request.SharedTokens()
	if q.tokens, err = parseCount("tokens", v.Get("tokens"), maxTokens); err != nil {
		return q, err
	}
	switch {
	case q.tokens == 0:
		q.tokens = shared
	case q.tokens < shared:
		return q, errors.Newf("tokens: %d are fewer than the %d of the segments", q.tokens, shared)
	}
	ms, err := parseCount("deadline_ms", v.Get("deadline_ms"), int(maxDeadline.Milliseconds()))
	q.deadline = time.Duration(ms) * time.Millisecond
	return q, err
}

// parseSegments reads shared segments of a prompt in order, each ID:TOKENS.
func parseSegments(text string) (out []placement.Segment, err error) {
	if text == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		id, tokens, found := strings.Cut(part, ":")
		if !found || id == "" {
			return nil, errors.Newf("segments: %.40q is not ID:TOKENS", part)
		}
		n, err := parseCount("segments", tokens, maxTokens)
		if err != nil {
			return nil, err
		}
		out = append(out, placement.Segment{
			ID:     id,
			Tokens: n,
		})
	}
	if len(out) > maxSegments {
		return nil, errors.Newf("segments: %d are more than %d", len(out), maxSegments)
	}
	return out, nil
}

// parseCount reads a whole number from 0 to most, 0 for an empty text.
func parseCount(name, text string, most int) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		return 0, errors.Newf("%s: %.40q is no whole number from 0 to %d", name, text, most)
	}
	return n, nil
}

// serveWhere answers a question of an operator.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	values, err := url.ParseQuery(r.URL.RawQuery)
	status := http.StatusBadRequest
	var q whereQuery
	if err == nil {
		q, err = parseWhereQuery(values)
	}
	var out Where
	if err == nil {
		out, err = n.where(q)
		status = whereStatus(err)
	}
	if err != nil {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(WhereError{ // the operator has left when this fails
			Error: err.Error(),
		})
		return
	}
	_ = json.NewEncoder(w).Encode(out) // as above
}

// whereStatus returns the status for an error of Node.where.
func whereStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errNotReady):
		return http.StatusServiceUnavailable
	case errors.Is(err, errNoOrganisation):
		return http.StatusBadRequest
	}
	return http.StatusNotFound
}
