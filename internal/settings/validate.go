package settings

import (
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// The codes of problems that checking settings finds.
const (
	CodeMissing       jsonc.Code = "missing"
	CodeBadName       jsonc.Code = "bad_name"
	CodeBadAddress    jsonc.Code = "bad_address"
	CodeBadURL        jsonc.Code = "bad_url"
	CodeDuplicateName jsonc.Code = "duplicate_name"
	CodeConflict      jsonc.Code = "conflict"
	CodeOutOfRange    jsonc.Code = "out_of_range"
)

// Bounds of limits.
const (
	maxSizeBytes = 64 * mebibyte
	maxRequests  = 1_000_000
	maxTimeoutMS = 3_600_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate checks settings that were built in code. Problems have no lines.
func (s *Settings) Validate() error {
	report := &jsonc.Report{}
	s.validate(report)
	return report.Err()
}

func (s *Settings) validate(report *jsonc.Report) {
	c := checker{report: report}
	c.name(s.Name, "/name")
	c.name(s.DataCentre, "/data_centre")
	c.name(s.Cell, "/cell")
	c.listenAddress(s.HTTPListen, "/http_listen")
	c.listenAddress(s.OpsListen, "/ops_listen")
	c.listenAddress(s.PeerListen, "/peer_listen")
	c.address(s.PeerAdvertise, "/peer_advertise")
	s.validateListeners(c)
	s.validatePeers(c)
	c.url(s.ConfigurationService, "/configuration_service")
	c.url(s.HostList, "/host_list")
	s.validateTargets(c)
	s.validateLimits(c)
}

// validateListeners checks that no two listeners share an address.
func (s *Settings) validateListeners(c checker) {
	if s.OpsListen == s.HTTPListen {
		c.sharedAddress(s.OpsListen, "http_listen", "/ops_listen")
	}
	if s.PeerListen == s.HTTPListen {
		c.sharedAddress(s.PeerListen, "http_listen", "/peer_listen")
	}
	if s.PeerListen == s.OpsListen {
		c.sharedAddress(s.PeerListen, "ops_listen", "/peer_listen")
	}
}

func (s *Settings) validatePeers(c checker) {
	const path = jsonc.Path("/peers")
	seen := make(map[string]bool)
	for i, peer := range s.Peers {
		at := path.Index(i)
		c.name(peer.Name, at.Key("name"))
		c.address(peer.Address, at.Key("address"))
		if peer.OpsAddress != "" {
			c.address(peer.OpsAddress, at.Key("ops_address"))
		}
		if seen[peer.Name] {
			c.report.Add(CodeDuplicateName, at.Key("name"), "peer %q is listed twice", peer.Name)
		}
		seen[peer.Name] = true
		if peer.Name == s.Name && peer.Address != s.PeerAdvertise {
			c.report.Add(CodeConflict, at.Key("address"),
				"is the entry of this host, whose peer_advertise is %q", s.PeerAdvertise)
		}
	}
}

// validateTargets checks the addresses of targets.
func (s *Settings) validateTargets(c checker) {
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		c.url(s.Targets[name], jsonc.Path("/targets").Key(name))
	}
}

func (s *Settings) validateLimits(c checker) {
	const path = jsonc.Path("/limits")
	l := s.Limits
	c.inRange(l.MaxBodyBytes, 1, maxSizeBytes, path.Key("max_body_bytes"))
	c.inRange(l.MaxHeaderBytes, kibibyte, maxSizeBytes, path.Key("max_header_bytes"))
	c.inRange(l.MaxRequests, 1, maxRequests, path.Key("max_requests"))
	c.inRange(l.ReadTimeoutMS, 1, maxTimeoutMS, path.Key("read_timeout_ms"))
	c.inRange(l.WriteTimeoutMS, 1, maxTimeoutMS, path.Key("write_timeout_ms"))
	c.inRange(l.IdleTimeoutMS, 1, maxTimeoutMS, path.Key("idle_timeout_ms"))
	c.inRange(s.Stop.BalancerLagMS, 0, maxTimeoutMS, "/stop/balancer_lag_ms")
}

// checker reports problems of single values.
type checker struct {
	report *jsonc.Report
}

func (c checker) name(name string, path jsonc.Path) {
	switch {
	case name == "":
		c.report.Add(CodeMissing, path, "is needed")
	case !namePattern.MatchString(name):
		c.report.Add(CodeBadName, path,
			"%q must start with a letter or digit and have at most 128 letters, digits, dots, hyphens and underscores", name)
	}
}

// listenAddress checks an address to listen at; any IP and port will do.
func (c checker) listenAddress(address string, path jsonc.Path) {
	c.parseAddress(address, path)
}

// address checks an address to connect to.
func (c checker) address(address string, path jsonc.Path) {
	parsed, ok := c.parseAddress(address, path)
	if ok && (parsed.Addr().IsUnspecified() || parsed.Port() == 0) {
		c.report.Add(CodeBadAddress, path, "%q can't be connected to", address)
	}
}

func (c checker) parseAddress(address string, path jsonc.Path) (netip.AddrPort, bool) {
	if address == "" {
		c.report.Add(CodeMissing, path, "is needed")
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.report.Add(CodeBadAddress, path, "%q is not an IP number with a port, such as 10.0.0.1:7000", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

func (c checker) sharedAddress(address, other string, path jsonc.Path) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Port() != 0 {
		c.report.Add(CodeConflict, path, "%q is also %s", address, other)
	}
}

// url checks an HTTP URL whose host is an IP number.
func (c checker) url(text string, path jsonc.Path) {
	if text == "" {
		c.report.Add(CodeMissing, path, "is needed")
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.User != nil || parsed.Fragment != "" {
		c.report.Add(CodeBadURL, path, "%q is not an HTTP URL such as http://10.0.0.1:8000/document", text)
		return
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		c.report.Add(CodeBadURL, path, "host %q of the URL is not an IP number", parsed.Hostname())
	}
}

func (c checker) inRange(value, least, greatest int, path jsonc.Path) {
	if value < least || value > greatest {
		c.report.Add(CodeOutOfRange, path, "must be from %d to %d, got %d", least, greatest, value)
	}
}
