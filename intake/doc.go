// Package intake holds tests that start the programs and send them what clients outside the limits send: bodies, headers
// and messages that never end, many at once. They check that the process lives, and that its memory and its open
// descriptors stay under a bound.
package intake
