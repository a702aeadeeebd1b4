// Package control defines the messages between the system's own processes and their twirp services. The Go code is
// generated from control.proto and committed, so that the build needs no generator.
package control
