// Package fixedseed sets a fixed seed for rapid, so that property tests draw the same values in every run. Test packages
// that use rapid import it for its side effect; -rapid.seed on the command line overrides the seed.
package fixedseed

import (
	"flag"

	// The import registers rapid's flags before init sets them.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
