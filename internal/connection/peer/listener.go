package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/sirupsen/logrus"
)

// maxHandshakes bounds the connections whose handshake is under way; more
// wait in the kernel.
const maxHandshakes = 128

// listener accepts connections of other instances and does the handshakes
// beside each other, so that a silent peer delays nobody.
type listener struct {
	net.Listener
	certs          *tlsconf.Source
	log            *logrus.Entry
	ready          chan net.Conn
	handshakeSlots chan struct{}
	done           chan struct{}
	once           sync.Once
	err            error // of Accept; set before done is closed
}

func newListener(raw net.Listener, certs *tlsconf.Source, log *logrus.Entry) *listener {
	l := &listener{
		Listener: raw, certs: certs, log: log,
		ready:          make(chan net.Conn),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		done:           make(chan struct{}),
	}
	go l.acceptLoop()
	return l
}

func (l *listener) acceptLoop() {
	for {
		l.handshakeSlots <- struct{}{}
		raw, err := l.Listener.Accept()
		if err != nil {
			l.stop(err)
			return
		}
		go l.handshake(raw)
	}
}

func (l *listener) handshake(raw net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn := tls.Server(raw, l.certs.Server(tlsconf.Instance))
	err := conn.HandshakeContext(ctx)
	<-l.handshakeSlots
	if err != nil {
		raw.Close()
		logRefused(l.log, raw.RemoteAddr(), err)
		return
	}
	select {
	case l.ready <- conn:
	case <-l.done:
		conn.Close()
	}
}

func (l *listener) stop(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
	})
}

// Accept returns the next connection of an instance.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, l.err
	}
}

// Close stops listening. Connections whose handshake is under way are closed.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.stop(net.ErrClosed)
	return err
}
