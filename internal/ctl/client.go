package ctl

import "net/http"

// httpClient sends requests to hosts directly, without a proxy and without
// following redirects. It uses each connection only once, since net/http may retry
// a request that failed on a reused connection.
var httpClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}
