// Package schema holds the JSON Schemas of settings, bundles and messages.
//
// The Go types in package wire are generated from the same files, so what is
// checked and what is decoded can't differ.
package schema

import "embed"

// Names of the schemas, as they stand in Files.
const (
	Settings = "settings.schema.json"
	Bundle   = "bundle.schema.json"
	Messages = "messages.schema.json"
)

// Files holds every schema by its name.
//
//go:embed *.schema.json
var Files embed.FS
