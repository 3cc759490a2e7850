package replica

import (
	"context"
	"slices"
	"time"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// joinLogInterval limits how often failed membership requests are logged, so
	// that a long wait for the cluster does not fill the log.
	joinLogInterval = 10 * time.Second
	// maxTimeWithoutLeader is how long a voter waits without a known leader
	// before it requests membership, because it may have been removed from the
	// configuration while it was down. The bound is longer than an election,
	// which takes two rounds of at most a second each.
	maxTimeWithoutLeader = 3 * time.Second
)

// joinLoop requests membership while this replica is not a voter, or has known no
// leader for maxTimeWithoutLeader. It also keeps connections to all peers open, so
// that an election does not have to wait for them.
func (r *Replica) joinLoop() {
	defer r.wg.Done()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	var lastLogged time.Time
	lastLeaderSeen := time.Now()
	for {
		st := r.status.Load()
		r.transport.connectPeers(st)
		if st.LeaderID != "" {
			lastLeaderSeen = time.Now()
		}
		if !st.isVoter() || time.Since(lastLeaderSeen) > maxTimeWithoutLeader {
			if err := r.requestMembership(); err != nil && time.Since(lastLogged) > joinLogInterval {
				lastLogged = time.Now()
				r.log.WithError(err).Warn("not a voter or no leader known; no replica accepted the membership request")
			}
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// SetJoinAddrs replaces the addresses from which the replica requests membership.
func (r *Replica) SetJoinAddrs(addrs []string) { r.joinAddrs.Store(&addrs) }

// requestMembership sends a membership request to the join addresses and then to
// the peers of the current configuration, until one accepts it. It returns nil on
// success and the last error otherwise.
func (r *Replica) requestMembership() error {
	var last error
	addrs := slices.Clone(*r.joinAddrs.Load())
	for _, p := range r.status.Load().Peers {
		addrs = append(addrs, p.Addr)
	}
	tried := map[string]bool{r.cfg.Addr: true}
	for _, addr := range addrs {
		if tried[addr] {
			continue
		}
		tried[addr] = true
		if last = r.requestMembershipFrom(addr); last == nil {
			return nil
		}
	}
	return last
}

func (r *Replica) requestMembershipFrom(addr string) error {
	ctx, cancel := context.WithTimeout(r.ctx, joinTimeout)
	defer cancel()
	conn, err := r.transport.readyConn(ctx, addr)
	if err != nil {
		return err
	}
	_, err = pb.NewReplicaClient(conn).AddLearner(ctx, &pb.Peer{Id: r.id, Addr: r.cfg.Addr})
	return err
}
