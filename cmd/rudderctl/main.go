// Command rudderctl is the tool of operators and experimenters.
package main

import (
	"os"

	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/control"
)

func main() {
	os.Exit(commands.Execute(control.Commands()))
}
