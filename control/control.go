// Package control holds the subcommands of the binary rudderctl, one file each.
package control

import "github.com/google/subcommands"

// Commands returns the subcommands of the binary rudderctl.
func Commands() []subcommands.Command {
	return []subcommands.Command{
		&demoCmd{},
		&bundleCmd{},
		&dumpCmd{},
		&measureCmd{},
		&referenceCmd{},
		&explainCmd{},
		&whereCmd{},
	}
}
