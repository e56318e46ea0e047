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

// blackHole holds back the bytes in both directions.
var blackHole = faultproxy.Faults{StallToServer: true, StallToClient: true}

// helloHost identifies the source of a peer connection by its first frame, the hello.
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

// kill ends a node with SIGKILL. The node stays in c.nodes.
func (c *cluster) kill(p *process) {
	c.t.Helper()
	p.unreachable.Store(true)
	require.NoError(c.t, p.command.Process.Kill())
	<-p.exited
}

// restart starts a node whose process has ended, at the same addresses.
func (c *cluster) restart(p *process) {
	c.t.Helper()
	c.startNode(p)
	c.waitReady(p)
	p.unreachable.Store(false)
}

func (c *cluster) suspend(p *process) {
	c.t.Helper()
	p.unreachable.Store(true)
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGSTOP))
}

func (c *cluster) resume(p *process) {
	c.t.Helper()
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGCONT))
	p.unreachable.Store(false)
}

// cutOneWay holds back the bytes that from sends to each of the others.
func (c *cluster) cutOneWay(from *process, others ...*process) {
	for _, to := range others {
		to.peerProxy.SetSourceFaults(from.settings.Name, faultproxy.Faults{StallToServer: true})
		from.peerProxy.SetSourceFaults(to.settings.Name, faultproxy.Faults{StallToClient: true})
	}
}

// partition holds back all bytes between the nodes of part and the rest of the
// fleet.
func (c *cluster) partition(part []*process) {
	for _, a := range part {
		for _, b := range c.nodes {
			if !slices.Contains(part, b) {
				a.peerProxy.SetSourceFaults(b.settings.Name, blackHole)
				b.peerProxy.SetSourceFaults(a.settings.Name, blackHole)
			}
		}
	}
}

// heal removes all faults between nodes.
func (c *cluster) heal() {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			a.peerProxy.SetSourceFaults(b.settings.Name, faultproxy.Faults{})
		}
	}
}
