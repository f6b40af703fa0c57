package capacity

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Marks between which the page holds what is worked out.
const (
	markRoles  = "roles"
	markSlopes = "slopes"
)

func begin(mark string) string { return "<!-- " + mark + " -->\n" }

func end(mark string) string { return "<!-- end of " + mark + " -->\n" }

// Fill returns page with the text between the marks replaced.
func Fill(page, mark, text string) (string, error) {
	head, rest, ok := strings.Cut(page, begin(mark))
	if !ok {
		return "", errors.Newf("capacity: no mark %q", mark)
	}
	_, tail, ok := strings.Cut(rest, end(mark))
	if !ok {
		return "", errors.Newf("capacity: no end of mark %q", mark)
	}
	return head + begin(mark) + text + end(mark) + tail, nil
}

// Page returns page with both tables worked out anew.
func Page(page string, z Size, s Slopes, order []string) (string, error) {
	page, err := Fill(page, markRoles, Table(z, s))
	if err != nil {
		return "", err
	}
	return Fill(page, markSlopes, SlopeTable(s.list(order)))
}
