// Command rudderctl is the tool of operators and experimenters.
package main

import (
	"os"

	"github.com/havenrudder/havenrudder/commands"
)

func main() {
	os.Exit(commands.Execute(commands.Control()))
}
