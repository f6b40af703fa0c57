// Package config reads JSON with comments, checks it against its schema and
// says of every mistake in which file, line and path it stands and what was
// expected.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/havenrudder/havenrudder/schema"
	"github.com/havenrudder/havenrudder/wire"
)

// Mistake is one thing wrong in a file.
type Mistake struct {
	File string // name of the file
	Line int    // line, from 1; 0 where it is not known
	Path string // JSON pointer of the value
	Want string // what was expected
}

// String returns the mistake the way compilers print theirs.
func (m Mistake) String() string {
	path := m.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, path, m.Want)
}

// MistakesError is every mistake found in one file.
type MistakesError struct {
	list []Mistake
}

var _ error = (*MistakesError)(nil)

// NewMistakesError returns an error that holds list.
func NewMistakesError(list ...Mistake) *MistakesError {
	return &MistakesError{list: list}
}

// List returns the mistakes.
func (e *MistakesError) List() []Mistake { return e.list }

// Error returns one line a mistake.
func (e *MistakesError) Error() string {
	lines := make([]string, 0, len(e.list))
	for _, m := range e.list {
		lines = append(lines, m.String())
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (wire.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return wire.Settings{}, errors.Wrap(err, "settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings checks data, the content of the settings file at path.
func ParseSettings(path string, data []byte) (wire.Settings, error) {
	var s wire.Settings
	if _, err := Decode(schema.Settings, path, data, &s); err != nil {
		return wire.Settings{}, err
	}
	if s.Limits == nil {
		s.Limits = defaultLimits()
	}
	return s, nil
}

// defaultLimits returns the defaults that the schema states.
func defaultLimits() *wire.Limits {
	var l wire.Limits
	if err := json.Unmarshal([]byte("{}"), &l); err != nil {
		panic(errors.Wrap(err, "settings: defaults")) // the schema requires no limit
	}
	return &l
}

// Document is a checked file that still knows its lines.
type Document struct {
	file  string
	data  []byte
	value hujson.Value
}

// Line returns the line on which the value at the JSON pointer stands, or of
// its nearest parent that is there.
func (d *Document) Line(pointer string) int {
	for {
		if v := d.value.Find(pointer); v != nil {
			return 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

// Mistake returns a mistake at the JSON pointer.
func (d *Document) Mistake(pointer, want string) Mistake {
	return Mistake{
		File: d.file,
		Line: d.Line(pointer),
		Path: pointer,
		Want: want,
	}
}

// Decode checks data against the named schema and decodes it into out.
func Decode(name, file string, data []byte, out any) (*Document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, NewMistakesError(Mistake{
			File: file,
			Line: syntaxLine(err),
			Want: err.Error(),
		})
	}
	doc := &Document{
		file:  file,
		data:  data,
		value: value,
	}
	plain := value.Clone()
	plain.Standardize()
	if err := validate(name, doc, plain.Pack()); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(plain.Pack(), out); err != nil {
		return nil, NewMistakesError(doc.Mistake("", err.Error()))
	}
	return doc, nil
}

// syntaxLine returns the line that hujson names in its message, or 1.
func syntaxLine(err error) int {
	line := 1
	if _, after, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(after, "%d", &line)
	}
	return line
}

// compiled returns the named schema, compiled once a process.
var compiled = sync.OnceValues(compileAll)

func compileAll() (map[string]*jsonschema.Schema, error) {
	c := jsonschema.NewCompiler()
	out := make(map[string]*jsonschema.Schema)
	for _, name := range []string{schema.Settings, schema.Bundle} {
		data, err := schema.Files.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "schema")
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err != nil {
			return nil, errors.Wrapf(err, "schema %s", name)
		}
		if err := c.AddResource(name, doc); err != nil {
			return nil, errors.Wrapf(err, "schema %s", name)
		}
		if out[name], err = c.Compile(name); err != nil {
			return nil, errors.Wrapf(err, "schema %s", name)
		}
	}
	return out, nil
}

func validate(name string, doc *Document, plain []byte) error {
	all, err := compiled()
	if err != nil {
		return err
	}
	inst, err := jsonschema.UnmarshalJSON(bytes.NewReader(plain))
	if err != nil {
		return NewMistakesError(doc.Mistake("", err.Error()))
	}
	err = all[name].Validate(inst)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return NewMistakesError(leaves(doc, invalid, nil)...)
	}
	return err
}

// leaves returns the innermost causes, which alone say what was expected.
func leaves(doc *Document, e *jsonschema.ValidationError, out []Mistake) []Mistake {
	if len(e.Causes) == 0 {
		want := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return append(out, doc.Mistake(pointer(e.InstanceLocation), want))
	}
	for _, cause := range e.Causes {
		out = leaves(doc, cause, out)
	}
	return out
}

func pointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var b strings.Builder
	for _, token := range location {
		b.WriteByte('/')
		b.WriteString(escape.Replace(token))
	}
	return b.String()
}
