// Package panics recovers from panics, so that a panic in the work on one message,
// request or server does not end the process.
package panics

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

var count atomic.Int64

// Recover recovers from a panic of the function that defers it, and counts and logs
// it with its stack. Locks and other resources of that function must be released by
// other deferred calls. Argument work names the abandoned work.
func Recover(log hclog.Logger, work string) {
	if v := recover(); v != nil {
		Record(log, work, v)
	}
}

// Record counts a panic that the caller recovered, with value v, and logs it with
// the stack of the caller's goroutine. Argument work names the abandoned work.
func Record(log hclog.Logger, work string, v any) {
	count.Add(1)
	log.Error("panic recovered; work abandoned", "work", work, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
}

// Count returns the number of recovered panics since the start of the process.
func Count() int64 { return count.Load() }
