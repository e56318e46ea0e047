package kind

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range All() {
		a := k.Answer()
		require.NotEmpty(t, a.Name, "kind %d", k)
		require.False(t, seen[a.Name], "duplicate name %q", a.Name)
		seen[a.Name] = true
		require.GreaterOrEqual(t, a.Status, 400, a.Name)
		require.Contains(t, []Run{RunNo, RunUnknown, RunYes}, a.Run, a.Name)
		parsed, ok := Parse(a.Name)
		require.True(t, ok)
		require.Equal(t, k, parsed)
	}
}

func TestOfFindsWrappedKind(t *testing.T) {
	err := fmt.Errorf("scatter: %w", Errorf(LeafShed, "leaf %q is full", "d01-0"))
	require.Equal(t, LeafShed, Of(err))
	require.Equal(t, Internal, Of(fmt.Errorf("plain")))
}
