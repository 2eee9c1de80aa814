package instance

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errCut is the error of a connection between two instances that are cut off
// from each other.
var errCut = errors.New("cut off")

// network connects the instances of a site and cuts them off from each other.
type network struct {
	mu    sync.Mutex
	names map[string]string
	cut   func(from, to string) bool
	conns map[*link]struct{}
}

// link is a connection between two instances.
type link struct {
	net.Conn
	network  *network
	from, to string
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: func(string, string) bool { return false }, conns: map[*link]struct{}{}}
}

// register sets the name of the instance at an address.
func (n *network) register(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// setCut replaces the rule that defines which instances are cut off from each other,
// and closes the connections that it forbids.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	n.cut = cut
	var broken []*link
	for c := range n.conns {
		if cut(c.from, c.to) || cut(c.to, c.from) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// dial returns the dial function of an instance.
func (n *network) dial(from string, dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		cut := n.cut(from, to) || n.cut(to, from)
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &link{Conn: conn, network: n, from: from, to: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut(from, to) || n.cut(to, from) {
			return nil, errors.Join(errCut, conn.Close())
		}
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// Close closes the connection and removes it from the network.
func (c *link) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
