package raft

import "github.com/fescuejunction/fescuejunction/internal/errkind"

// Errors of Propose, Read, AddLearner and RemoveVoter. Nothing was appended to the log.
var (
	ErrNotLeader    = errkind.New(errkind.NotLeader, "this replica is not the leader")
	ErrUncommitted  = errkind.New(errkind.QueueFull, "too many proposals wait to be committed")
	ErrConfigBusy   = errkind.New(errkind.NotReady, "another membership change is not committed yet")
	ErrStillNeeded  = errkind.New(errkind.Conflict, "the voter is active, or the others could not lose one more")
	ErrTooManyPeers = errkind.New(errkind.Conflict, "the configuration already has %d peers", maxPeers)
)
