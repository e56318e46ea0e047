package node

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// dataBytes returns the memory for data, or zero if that is not limited, and limits the Go runtime to it.
// Without a setting it is taken from the limit that the runtime has already.
func dataBytes(l settings.Limits) int64 {
	if l.MemoryBytes > 0 {
		memlimit.LimitRuntime(int64(l.MemoryBytes))
		return memlimit.DataBytes(int64(l.MemoryBytes))
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return memlimit.DataBytes(limit)
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
