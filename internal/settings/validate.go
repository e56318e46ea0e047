package settings

import (
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// Codes of the problems that the validation of settings reports.
const (
	CodeMissing       jsonc.Code = "missing"
	CodeBadName       jsonc.Code = "bad_name"
	CodeBadAddress    jsonc.Code = "bad_address"
	CodeBadURL        jsonc.Code = "bad_url"
	CodeDuplicateName jsonc.Code = "duplicate_name"
	CodeConflict      jsonc.Code = "conflict"
	CodeOutOfRange    jsonc.Code = "out_of_range"
)

// Maximum values of limits.
const (
	maxSizeBytes = 64 * mebibyte
	maxRequests  = 1_000_000
	maxTimeoutMS = 3_600_000
	// A process that serves takes about half of minMemoryBytes and of minFiles.
	minMemoryBytes = 32 * mebibyte
	maxMemoryBytes = 1 << 40
	minFiles       = 256
	maxFiles       = 1 << 24
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate validates settings that were not decoded from a file. The problems have no
// lines.
func (s *Settings) Validate() error {
	report := &jsonc.Report{}
	s.validate(report)
	return report.Err()
}

func (s *Settings) validate(report *jsonc.Report) {
	c := checker{report: report}
	c.checkName(s.Name, "/name")
	c.checkName(s.DataCentre, "/data_centre")
	c.checkName(s.Cell, "/cell")
	c.checkListenAddress(s.HTTPListen, "/http_listen")
	c.checkListenAddress(s.OpsListen, "/ops_listen")
	c.checkListenAddress(s.PeerListen, "/peer_listen")
	c.checkConnectAddress(s.PeerAdvertise, "/peer_advertise")
	s.validateListeners(c)
	s.validatePeers(c)
	c.checkURL(s.ConfigurationService, "/configuration_service")
	c.checkURL(s.HostList, "/host_list")
	s.validateTargets(c)
	s.validateLimits(c)
}

// validateListeners checks that no two listeners have the same address.
func (s *Settings) validateListeners(c checker) {
	if s.OpsListen == s.HTTPListen {
		c.reportSharedAddress(s.OpsListen, "http_listen", "/ops_listen")
	}
	if s.PeerListen == s.HTTPListen {
		c.reportSharedAddress(s.PeerListen, "http_listen", "/peer_listen")
	}
	if s.PeerListen == s.OpsListen {
		c.reportSharedAddress(s.PeerListen, "ops_listen", "/peer_listen")
	}
}

func (s *Settings) validatePeers(c checker) {
	const path = jsonc.Path("/peers")
	seen := make(map[string]bool)
	for i, peer := range s.Peers {
		at := path.Index(i)
		c.checkName(peer.Name, at.Key("name"))
		c.checkConnectAddress(peer.Address, at.Key("address"))
		if peer.OpsAddress != "" {
			c.checkConnectAddress(peer.OpsAddress, at.Key("ops_address"))
		}
		if seen[peer.Name] {
			c.report.Add(CodeDuplicateName, at.Key("name"), "peer %q is listed twice", peer.Name)
		}
		seen[peer.Name] = true
		if peer.Name == s.Name && peer.Address != s.PeerAdvertise {
			c.report.Add(CodeConflict, at.Key("address"),
				"differs from peer_advertise %q, although the entry is this host", s.PeerAdvertise)
		}
	}
}

// validateTargets checks the URLs of targets.
func (s *Settings) validateTargets(c checker) {
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		c.checkURL(s.Targets[name], jsonc.Path("/targets").Key(name))
	}
}

func (s *Settings) validateLimits(c checker) {
	const path = jsonc.Path("/limits")
	l := s.Limits
	c.checkRange(l.MaxBodyBytes, 1, maxSizeBytes, path.Key("max_body_bytes"))
	c.checkRange(l.MaxHeaderBytes, kibibyte, maxSizeBytes, path.Key("max_header_bytes"))
	c.checkRange(l.MaxRequests, 1, maxRequests, path.Key("max_requests"))
	c.checkRange(l.ReadTimeoutMS, 1, maxTimeoutMS, path.Key("read_timeout_ms"))
	c.checkRange(l.WriteTimeoutMS, 1, maxTimeoutMS, path.Key("write_timeout_ms"))
	c.checkRange(l.IdleTimeoutMS, 1, maxTimeoutMS, path.Key("idle_timeout_ms"))
	if l.MemoryBytes != 0 {
		c.checkRange(l.MemoryBytes, minMemoryBytes, maxMemoryBytes, path.Key("memory_bytes"))
	}
	if l.MaxFiles != 0 {
		c.checkRange(l.MaxFiles, minFiles, maxFiles, path.Key("max_files"))
	}
	c.checkRange(s.Stop.BalancerLagMS, 0, maxTimeoutMS, "/stop/balancer_lag_ms")
}

// checker checks single values and reports their problems.
type checker struct {
	report *jsonc.Report
}

func (c checker) checkName(name string, path jsonc.Path) {
	switch {
	case name == "":
		c.report.Add(CodeMissing, path, "is required")
	case !namePattern.MatchString(name):
		c.report.Add(CodeBadName, path,
			"%q must start with a letter or digit and have at most 128 letters, digits, dots, hyphens and underscores", name)
	}
}

// checkListenAddress checks a listen address. The IP may be unspecified and the port 0.
func (c checker) checkListenAddress(address string, path jsonc.Path) {
	c.parseAddress(address, path)
}

// checkConnectAddress checks an address to which other hosts or tools connect.
func (c checker) checkConnectAddress(address string, path jsonc.Path) {
	parsed, ok := c.parseAddress(address, path)
	if ok && (parsed.Addr().IsUnspecified() || parsed.Port() == 0) {
		c.report.Add(CodeBadAddress, path, "%q has an unspecified IP address or port 0, so it can't be connected to", address)
	}
}

func (c checker) parseAddress(address string, path jsonc.Path) (netip.AddrPort, bool) {
	if address == "" {
		c.report.Add(CodeMissing, path, "is required")
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.report.Add(CodeBadAddress, path, "%q is not an IP address with a port, such as 10.0.0.1:7000", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

func (c checker) reportSharedAddress(address, other string, path jsonc.Path) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Port() != 0 {
		c.report.Add(CodeConflict, path, "%q is also the address of %s", address, other)
	}
}

// checkURL checks that a text is an HTTP URL whose host is an IP address.
func (c checker) checkURL(text string, path jsonc.Path) {
	if text == "" {
		c.report.Add(CodeMissing, path, "is required")
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.User != nil || parsed.Fragment != "" {
		c.report.Add(CodeBadURL, path, "%q is not an HTTP URL such as http://10.0.0.1:8000/document", text)
		return
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		c.report.Add(CodeBadURL, path, "host %q of the URL is not an IP address", parsed.Hostname())
	}
}

func (c checker) checkRange(value, low, high int, path jsonc.Path) {
	if value < low || value > high {
		c.report.Add(CodeOutOfRange, path, "must be from %d to %d, got %d", low, high, value)
	}
}
