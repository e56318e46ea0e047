package e2e

import (
	"bytes"
	"io"
	"slices"
	"syscall"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// blackHole holds back the bytes of both directions.
var blackHole = faultproxy.Faults{StallToServer: true, StallToClient: true}

// helloHost identifies the source of a peer connection by its first frame.
func helloHost(r io.Reader) (string, []byte, error) {
	var read bytes.Buffer
	frame, err := wire.Read(io.TeeReader(r, &read))
	if err != nil {
		return "", nil, err
	}
	var hello wire.Hello
	err = wire.Decode(frame.Payload, &hello)
	return hello.Host, read.Bytes(), err
}

// kill ends a node at once. It stays in nodes.
func (c *cluster) kill(p *process) {
	c.t.Helper()
	p.frozen.Store(true)
	require.NoError(c.t, p.command.Process.Kill())
	<-p.exited
}

// restart starts an ended node again at the same addresses.
func (c *cluster) restart(p *process) {
	c.t.Helper()
	c.startNode(p)
	c.waitReady(p)
	p.frozen.Store(false)
}

func (c *cluster) freeze(p *process) {
	c.t.Helper()
	p.frozen.Store(true)
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGSTOP))
}

func (c *cluster) wake(p *process) {
	c.t.Helper()
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGCONT))
	p.frozen.Store(false)
}

// cutOneWay holds back what from sends to each of the others.
func (c *cluster) cutOneWay(from *process, others ...*process) {
	for _, to := range others {
		to.peers.SetSourceFaults(from.settings.Name, faultproxy.Faults{StallToServer: true})
		from.peers.SetSourceFaults(to.settings.Name, faultproxy.Faults{StallToClient: true})
	}
}

// split cuts the links between two parts of the fleet.
func (c *cluster) split(part []*process) {
	for _, a := range part {
		for _, b := range c.nodes {
			if !slices.Contains(part, b) {
				a.peers.SetSourceFaults(b.settings.Name, blackHole)
				b.peers.SetSourceFaults(a.settings.Name, blackHole)
			}
		}
	}
}

// heal lifts every fault between nodes.
func (c *cluster) heal() {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			a.peers.SetSourceFaults(b.settings.Name, faultproxy.Faults{})
		}
	}
}
