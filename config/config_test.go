package config

import (
	"fmt"
	"io/fs"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/examples"
)

func ExampleParseSettings() {
	_, err := ParseSettings("box.jsonc", []byte(`{
  "box": "qc-1",
  "region": "Quebec",
  "failure_domain": "qc-limoilou",
  "listen": {
    "callers": "localhost:8080",
    "peers": "127.0.0.1:8081",
    "operators": "127.0.0.1:8082",
  },
  "platform": {"urls": []},
  "keys": [{"id": "k", "public": "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="}],
  "colour": "blue", // no such thing
}`))
	var mistakes *MistakesError
	fmt.Println(errors.As(err, &mistakes), len(mistakes.List()))
	for _, m := range mistakes.List() {
		fmt.Println(m.Line, m.Path)
	}
	// Unordered output:
	// true 3
	// 1
	// 6 /listen/callers
	// 10 /platform/urls
}

func TestTheExamplesAreWhole(t *testing.T) {
	is := is.New(t)
	files, err := fs.Glob(examples.Files, "*/boxes/*.jsonc")
	is.NoErr(err)
	is.Equal(len(files), 17)
	for _, file := range files {
		data, err := examples.Files.ReadFile(file)
		is.NoErr(err)
		s, err := ParseSettings(file, data)
		is.NoErr(err)
		is.Equal(s.Limits.BodyBytes, 4<<20) // defaults are filled in
	}
}

func TestAMistakeOfSyntaxNamesItsLine(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings("box.jsonc", []byte("{\n\n  oops\n}"))
	var mistakes *MistakesError
	is.True(errors.As(err, &mistakes))
	is.Equal(mistakes.List()[0].Line, 3)
}

func FuzzParseSettings(f *testing.F) {
	data, err := examples.Files.ReadFile("lavallee/boxes/qc-1.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"listen": {"callers": 3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings("fuzz", data)
		if err == nil && (s.Box == "" || len(s.Keys) == 0 || s.Limits == nil) {
			t.Fatal("half accepted")
		}
	})
}
