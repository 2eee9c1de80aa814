package event

import (
	"fmt"
	"runtime/debug"
)

// WritePanic writes a recovered panic of a task with the stack. Call it in the deferred
// function that recovers it.
func (l *Logger) WritePanic(task string, cause any) {
	l.Write(Panicked, task, fmt.Sprint(cause), string(debug.Stack()))
}
