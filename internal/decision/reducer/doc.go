// Package reducer makes every decision of a daemon: Step handles one event and returns effects.
// It does no I/O, starts no goroutine and reads no clock, so equal events give equal effects.
package reducer
