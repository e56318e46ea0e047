package node

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

// hitsRatio is the fraction of the memory for data that the hits of searches may take, until their answers
// have been written.
const hitsRatio = 0.15

// hitsBytes returns the memory for the hits of searches, or zero if that is not limited.
func hitsBytes(dataBytes int64) int64 {
	if dataBytes == 0 {
		return 0
	}
	return max(int64(hitsRatio*float64(dataBytes)), entry.MinHitsBytes)
}

// dataBytes returns the memory for data, or zero if that is not limited, and limits the Go runtime to it.
// Without a setting, the limit that the runtime has already is taken for that of the process.
func dataBytes(l settings.Limits) int64 {
	total := int64(l.MemoryBytes)
	if total == 0 {
		total = debug.SetMemoryLimit(-1)
	}
	if total == math.MaxInt64 {
		return 0
	}
	memlimit.LimitRuntime(total)
	return memlimit.DataBytes(total)
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
