package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/lookup"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
)

// bodyMemoryLimit returns how many bytes of memory request bodies may use: half of
// the memory limit if there is one.
func bodyMemoryLimit(s *Settings) int64 {
	if s.MemoryLimit > 0 {
		return int64(s.MemoryLimit) << 20 / 2
	}
	return proxy.DefaultBodyMemory
}

// targetTransport returns the transport for requests to targets. It compares the
// identifiers of requests and answers, so that it can skip late answers to
// earlier requests.
func (p *process) targetTransport() *target.Transport {
	return &target.Transport{
		Dial: target.Dial,
		RequestID: func(req *http.Request) string {
			asked, _ := p.ext.Dialect.Request(req.Header) // the identifier is set even if the deadline cannot be parsed
			return asked.ID
		},
		ResponseID: func(resp *http.Response) string {
			return p.ext.Dialect.Answer(resp.StatusCode, resp.Header).ID
		},
	}
}

// peerTransport returns the transport for requests that are forwarded to other
// entries.
func (p *process) peerTransport() *target.Transport {
	return &target.Transport{
		Dial:       p.peers.DialHTTP,
		RequestID:  func(req *http.Request) string { return proxy.ForwardID(req.Header) },
		ResponseID: func(resp *http.Response) string { return proxy.ForwardID(resp.Header) },
	}
}

// sharedRetryPolicy returns the limit on retries of all entries together, with the
// number of entries among which its slack is divided. Entries that have just
// joined may not be known here yet, so joiningAllowance entries are added.
func (p *process) sharedRetryPolicy() proxy.SharedRetryPolicy {
	r := p.settings.Retry
	if r == nil {
		return proxy.SharedRetryPolicy{}
	}
	return proxy.SharedRetryPolicy{
		Policy: retry.Policy{Percent: 100 * r.Ratio, Slack: r.Slack, Window: r.Window.AsDuration()},
		Entries: func() int {
			if s := p.store.Load(); s != nil {
				return s.EntryCount() + joiningAllowance
			}
			return 1
		},
	}
}

// joiningAllowance is the number of entries that are assumed to be joining.
const joiningAllowance = 2

// regionShares returns the limit on moves between regions. This entry begins with the
// shares that the room of the regions asks for, like the others of its region.
func (p *process) regionShares() *spill.RegionShiftLimiter {
	l := spill.NewRegionShiftLimiter(p.settings.Region, p.settings.RegionShift, spill.DefaultRegionShiftWindow)
	l.StartWith(func() map[string]float64 { return spill.RoomShares(p.store.Load(), p.settings.Region) })
	return l
}

// requestServers returns the servers for requests of callers and for requests that
// other entries forward.
func (p *process) requestServers() (callers, peers *caller.Server) {
	return p.serversOf(p.proxyConfig(), p.lookupConfig())
}

func (p *process) serversOf(requests proxy.Config, lookups lookup.Config) (callers, peers *caller.Server) {
	forCallers, forPeers := proxy.New(requests, false), proxy.New(requests, true)
	handler := &callerHandler{lookups: lookup.New(lookups), requests: forCallers, store: p.store, ownHost: p.settings.ownHost}
	return p.requestServer(handler, p.callerLimits, forCallers), p.requestServer(forPeers, p.peerLimits, forPeers)
}

// proxyConfig returns the dependencies of the handlers of requests.
func (p *process) proxyConfig() proxy.Config {
	targets := p.targetTransport()
	return proxy.Config{
		Instance: p.settings.Instance, DataCentre: p.settings.DataCentre, Store: p.store, Dialect: p.ext.Dialect,
		Ready: p.ready, Confirmed: p.follower.Confirmed, Resuming: p.follower.Resuming, Start: p.start, Stopping: p.stopProgress, Groups: p.groups, Guarded: p.guarded,
		Caps: &shiftCaps{p.shared, p.store}, Places: spill.NewChooser(p.linkBudget, rand.Float64), Ledger: p.ledger,
		Shares:        p.regionShares(),
		NamesServices: p.settings.namesServices,
		Services:      &proxy.ServiceStates{}, SharedRetries: p.sharedRetryPolicy(), Announced: p.announced, Targets: targets, Peers: p.peerTransport(),
		Bodies: proxy.NewBodyMemory(bodyMemoryLimit(p.settings)), Answers: proxy.NewBodyMemory(proxy.DefaultAnswerMemory),
		Suspects: &proxy.Suspects{Table: p.suspects, Crashed: targets.Crashed, Report: p.reporter.report},
		Now:      time.Now, Log: p.log, Metrics: p.scope,
	}
}

// lookupConfig returns the dependencies of the handler of look-ups.
func (p *process) lookupConfig() lookup.Config {
	return lookup.Config{
		Instance: p.settings.Instance, DataCentre: p.settings.DataCentre, Store: p.store, Blocks: &p.blocks,
		Ready: p.follower.Ready, Confirmed: p.follower.Confirmed, Stopping: p.stopping, Dispatcher: p.groups.DispatchingEntry, Usable: p.groups.Usable,
		KeyToken: func(service string) string { return p.groups.Group(service).Token },
		Metrics:  p.scope,
	}
}
