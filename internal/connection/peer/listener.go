package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/sirupsen/logrus"
)

// maxHandshakes bounds the TLS handshakes in progress. Further connections wait in
// the accept queue of the kernel.
const maxHandshakes = 128

// listener accepts connections of other instances and does their TLS handshakes
// concurrently, so that a peer that sends nothing does not delay the others.
type listener struct {
	net.Listener
	certs          *tlsconf.Source
	log            *logrus.Entry
	ready          chan net.Conn // connections after their handshake
	handshakeSlots chan struct{} // one for each handshake in progress
	done           chan struct{} // closed when the listener stops
	once           sync.Once
	err            error // returned by Accept; set before done is closed
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

// Accept returns the next connection whose handshake succeeded.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, l.err
	}
}

// Close stops listening. A connection whose handshake is in progress is closed when
// the handshake ends.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.stop(net.ErrClosed)
	return err
}
