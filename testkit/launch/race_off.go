//go:build !race

package launch

const raceEnabled = false
