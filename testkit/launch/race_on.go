//go:build race

package launch

const raceEnabled = true
