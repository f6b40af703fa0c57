package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/schema"
)

// referenceCmd prints the reference of the settings, made from their schema.
type referenceCmd struct{}

var _ subcommands.Command = (*referenceCmd)(nil)

// Name returns the name of the subcommand.
func (*referenceCmd) Name() string { return "reference" }

// Synopsis says in one line what the subcommand does.
func (*referenceCmd) Synopsis() string { return "print the reference of the settings" }

// Usage returns the help of the subcommand.
func (*referenceCmd) Usage() string {
	return "reference\n  Print docs/operate/settings.md, made from the schema.\n"
}

// SetFlags sets no flags.
func (*referenceCmd) SetFlags(*flag.FlagSet) {}

// Execute prints the reference.
func (*referenceCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	text, err := reference()
	if err != nil {
		return commands.Fail(err)
	}
	fmt.Fprint(os.Stdout, text)
	return subcommands.ExitSuccess
}

// property is what the reference shows of one setting.
type property struct {
	Type        string              `json:"type"`
	Description string              `json:"description"`
	Default     json.RawMessage     `json:"default"`
	Minimum     json.RawMessage     `json:"minimum"`
	Maximum     json.RawMessage     `json:"maximum"`
	Required    []string            `json:"required"`
	Properties  map[string]property `json:"properties"`
	Items       *property           `json:"items"`
}

func reference() (string, error) {
	data, err := schema.Files.ReadFile(schema.Settings)
	if err != nil {
		return "", errors.Wrap(err, "reference")
	}
	var root property
	if err := json.Unmarshal(data, &root); err != nil {
		return "", errors.Wrap(err, "reference")
	}
	var b strings.Builder
	b.WriteString("# Settings of a box\n\nJSON with comments. This page is made from the schema by `rudderctl reference`.\n\n")
	b.WriteString("| setting | needed | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	writeProperties(&b, "", root)
	return b.String(), nil
}

func writeProperties(b *strings.Builder, prefix string, p property) {
	names := make([]string, 0, len(p.Properties))
	for name := range p.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		one := p.Properties[name]
		needed := ""
		if slices.Contains(p.Required, name) {
			needed = "yes"
		}
		fmt.Fprintf(b, "| `%s%s` | %s | %s | %s | %s |\n", prefix, name, needed, one.Default, one.bounds(), one.Description)
		writeProperties(b, prefix+name+".", one)
		if one.Items != nil {
			writeProperties(b, prefix+name+"[].", *one.Items)
		}
	}
}

func (p property) bounds() string {
	if p.Minimum == nil && p.Maximum == nil {
		return ""
	}
	return fmt.Sprintf("%s to %s", p.Minimum, p.Maximum)
}
