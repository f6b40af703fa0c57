// Package wire holds the types of settings, bundles and messages. All but this
// file is generated from package schema; every type checks itself when it is
// decoded.
package wire

//go:generate bash ../tools/generate.sh
