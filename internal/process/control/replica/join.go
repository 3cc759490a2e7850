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
	// joinLogInterval keeps a long wait for the cluster from filling the log.
	joinLogInterval = 10 * time.Second
	// leaderless is how long a voter may know no leader before it asks for
	// membership: it may have been removed while it was away. An election takes
	// two rounds of at most a second each.
	maxTimeWithoutLeader = 3 * time.Second
)

// joinLoop asks for membership while this replica is not a voter, or knows no
// leader for long, and keeps connections to all peers: an election must not wait
// for them.
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
				r.log.WithError(err).Warn("without a leader or a vote; no replica has accepted the request to join")
			}
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// SetJoin replaces the addresses to ask for membership.
func (r *Replica) SetJoinAddrs(addrs []string) { r.joinAddrs.Store(&addrs) }

// askToJoin tries the known addresses, and then the peers of the configuration
// in force, until one accepts. It returns the last error.
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
