package control

import (
	"sync"

	"google.golang.org/grpc"
)

// peerConns keeps one connection to each other control replica.
type peerConns struct {
	dial  func(addr string) (*grpc.ClientConn, error)
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeerConns(dial func(addr string) (*grpc.ClientConn, error)) *peerConns {
	return &peerConns{dial: dial, conns: map[string]*grpc.ClientConn{}}
}

func (p *peerConns) get(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		return c, nil
	}
	c, err := p.dial(addr)
	if err != nil {
		return nil, err
	}
	p.conns[addr] = c
	return c, nil
}

func (p *peerConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[string]*grpc.ClientConn{}
}
