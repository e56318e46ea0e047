package warmup

// Cause says why a leaf is taken as cold.
type Cause uint8

// The causes of a cold start.
const (
	// Unknown leaves have not been called yet.
	Unknown Cause = iota
	// NewIncarnation is an incarnation that was not seen before.
	NewIncarnation
	// PossibleRestart is a restart of the leaf or a pause of the holder that may
	// have gone unseen.
	PossibleRestart
	// Silence is the lack of answers for Config.SilentAfter.
	Silence
	// SelfReported is what the leaf says of itself.
	SelfReported
	// ConnectionLoss is a connection that the leaf refused, or closed with a call in
	// flight.
	ConnectionLoss
	// LatencyJump is a lasting rise of the latency.
	LatencyJump
	// Overload is a series of refusals because of load.
	Overload
	// Timeouts is a series of calls without an answer in time.
	Timeouts
	// LeavingWithdrawn is the withdrawal of the word that the leaf is leaving.
	LeavingWithdrawn
)

// String returns the stable name of c for logs.
func (c Cause) String() string {
	return [...]string{
		"unknown", "other_process", "possible_restart", "silence", "own_word", "connection_loss",
		"latency_jump", "overload", "timeouts", "stayed_after_all",
	}[c]
}
