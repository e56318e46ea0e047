package ctl

import "net/http"

// httpClient talks to hosts directly. It uses each connection once, so that it
// never repeats a request that failed on a reused one.
var httpClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}
