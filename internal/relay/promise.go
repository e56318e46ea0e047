package relay

import "net/http"

// promisesNotRun reports whether a status tells callers that a request has not run and never will.
// Callers repeat a request after such a status even if it must not run twice.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
