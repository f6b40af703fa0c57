package control

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestThePageOfSettingsIsThatOfTheSchema(t *testing.T) {
	is := is.New(t)
	want, err := reference()
	is.NoErr(err)
	page, err := os.ReadFile("../docs/operate/settings.md")
	is.NoErr(err)
	is.Equal(string(page), want) // run: go run ./cmd/rudderctl reference > docs/operate/settings.md
}
