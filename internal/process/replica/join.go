package replica

import (
	"context"
	"time"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// joinLogInterval keeps a long wait for the cluster from filling the log.
	joinLogInterval = 10 * time.Second
)

// joinLoop asks for membership while this replica is not a voter, and keeps
// connections to all peers: an election must not wait for them.
func (r *Replica) joinLoop() {
	defer r.wg.Done()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	var logged time.Time
	for {
		r.transport.connect(r.view.Load())
		if err := r.askToJoin(); err != nil && time.Since(logged) > joinLogInterval {
			logged = time.Now()
			r.log.WithError(err).Warn("not a voter yet; no replica has accepted the request to join")
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// SetJoin replaces the addresses to ask for membership.
func (r *Replica) SetJoin(addrs []string) { r.joinAddrs.Store(&addrs) }

// askToJoin tries the known addresses until one accepts, unless this replica
// is a voter. It returns the last error.
func (r *Replica) askToJoin() error {
	if r.view.Load().isVoter() {
		return nil
	}
	var last error
	for _, addr := range *r.joinAddrs.Load() {
		if addr == r.cfg.Addr {
			continue
		}
		if last = r.askOne(addr); last == nil {
			return nil
		}
	}
	return last
}

func (r *Replica) askOne(addr string) error {
	ctx, cancel := context.WithTimeout(r.ctx, joinTimeout)
	defer cancel()
	conn, err := r.transport.ready(ctx, addr)
	if err != nil {
		return err
	}
	_, err = pb.NewReplicaClient(conn).AddLearner(ctx, &pb.Peer{Id: r.id, Addr: r.cfg.Addr})
	return err
}
