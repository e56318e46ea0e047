package node

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// runtimeMemoryRatio is the fraction of a configured memory limit that is set as the limit of the Go
// runtime. The rest is for what the runtime does not manage.
const runtimeMemoryRatio = 0.8

// memoryBytes returns the memory that the process may use, or zero if that is not limited. Without a
// setting it is the memory limit of the Go runtime.
func memoryBytes(l settings.Limits) int64 {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryRatio * float64(l.MemoryBytes)))
		return int64(l.MemoryBytes)
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	return 0
}

// maxFiles returns the number of descriptors that the process may use, or zero if that is not limited.
// Without a setting it is the limit of the operating system.
func maxFiles(l settings.Limits) int {
	if l.MaxFiles > 0 {
		return l.MaxFiles
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
