// Command havenrudder is the process of every box.
package main

import (
	"os"

	"github.com/havenrudder/havenrudder/commands"
)

func main() {
	os.Exit(commands.Execute(commands.Box()))
}
