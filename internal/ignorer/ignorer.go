// Package ignorer lets a process ignore SIGHUP from before the Go runtime starts, until the signal is handled. Otherwise a
// SIGHUP ends the process while it initializes its packages. It takes effect in a program that imports it and is built
// with cgo, which the build line of deploy/system.toml requires.
package ignorer
