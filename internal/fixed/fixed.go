// Package fixed gives the fuzzing library a seed of its own, so that a run of the
// tests has the same verdict every time. Tests import it for that alone. A seed
// on the command line goes before it: go test ./ticket -rapid.seed=7.
package fixed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the library has renamed its flag
	}
}
