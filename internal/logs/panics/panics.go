// Package panics keeps a panic in the work on one message, request or server
// from ending the process.
package panics

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

var caught atomic.Int64

// Recover ends a panic of the function that defers it. The panic is counted and
// logged with its stack, so what the function held must be released by other
// deferred calls. Work names what is given up.
func Recover(log hclog.Logger, work string) {
	if v := recover(); v != nil {
		Record(log, work, v)
	}
}

// Record counts and logs a recovered panic.
func Record(log hclog.Logger, work string, v any) {
	caught.Add(1)
	log.Error("panic, work given up", "work", work, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
}

// Count returns the number of panics since the start of the process.
func Count() int64 { return caught.Load() }
