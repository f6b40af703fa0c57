// Package examples holds the settings and bundles of the first users, which the
// demo runs and the tests check.
package examples

import "embed"

// Files holds, for each user, bundle.jsonc and boxes/NAME.jsonc.
//
//go:embed lavallee kallioniemi
var Files embed.FS
