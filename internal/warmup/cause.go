package warmup

// Cause is the reason for which a leaf is considered cold.
type Cause uint8

// The causes of a cold start.
const (
	// Unknown is the cause of a leaf that has not been called yet.
	Unknown Cause = iota
	// NewIncarnation is a change of the leaf's incarnation.
	NewIncarnation
	// PossibleRestart is a possible restart of the leaf, or a pause of the holder
	// during which the leaf may have restarted unnoticed.
	PossibleRestart
	// Silence is the absence of answers for Config.SilenceTimeout.
	Silence
	// SelfReported is a report by the leaf that it is cold.
	SelfReported
	// ConnectionLoss is a connection that the leaf refused, or closed with a call in
	// flight.
	ConnectionLoss
	// LatencyJump is a sustained increase of the latency.
	LatencyJump
	// Overload is a refusal because of load, or a series of them at a warm leaf.
	Overload
	// Timeouts is a call that timed out, or a series of them at a warm leaf.
	Timeouts
	// LeavingWithdrawn is the withdrawal of the last report that the leaf is leaving.
	LeavingWithdrawn
)

// String returns the name of c in logs, which is stable across releases.
func (c Cause) String() string {
	return [...]string{
		"unknown", "other_process", "possible_restart", "silence", "own_word", "connection_loss",
		"latency_jump", "overload", "timeouts", "stayed_after_all",
	}[c]
}
