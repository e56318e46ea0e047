package settings

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Defaults returns settings with all default values. The name, data centre, addresses
// and URLs of a host have no default.
func Defaults() *Settings {
	return &Settings{
		Cell: "default",
		Stop: Stop{BalancerLagMS: 5_000},
		Limits: Limits{
			MaxBodyBytes:   1 * mebibyte,
			MaxHeaderBytes: 16 * kibibyte,
			MaxRequests:    2_000,
			ReadTimeoutMS:  10_000,
			WriteTimeoutMS: 60_000,
			IdleTimeoutMS:  120_000,
		},
	}
}

// setDerived sets the fields whose defaults are the values of other fields.
func (s *Settings) setDerived() {
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
}
