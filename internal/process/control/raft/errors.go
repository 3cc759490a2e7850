package raft

import "github.com/fescuejunction/fescuejunction/internal/errkind"

// Errors of Propose, Read, AddLearner and RemoveVoter. A call that returns one
// of them has appended nothing to the log.
var (
	ErrNotLeader           = errkind.New(errkind.NotLeader, "this replica is not the leader")
	ErrTooManyUncommitted  = errkind.New(errkind.QueueFull, "too many proposals wait to be committed")
	ErrConfigChangePending = errkind.New(errkind.NotReady, "another membership change is not committed yet")
	ErrVoterRequired       = errkind.New(errkind.Conflict, "the voter is active, or the remaining voters could not tolerate another failure")
	ErrTooManyPeers        = errkind.New(errkind.Conflict, "the configuration already has %d peers", maxPeers)
)
