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

// bodyMemory returns the bytes that request bodies may take: half of the
// memory limit if there is one.
func bodyMemory(s *Settings) int64 {
	if s.MemoryLimit > 0 {
		return int64(s.MemoryLimit) << 20 / 2
	}
	return proxy.DefaultBodyMemory
}

// targetTransport sends requests to targets and skips late answers to earlier
// ones.
func (p *process) targetTransport() *target.Transport {
	return &target.Transport{
		Dial: target.Dial,
		RequestID: func(req *http.Request) string {
			asked, _ := p.ext.Dialect.Request(req.Header) // an unreadable deadline leaves the identifier
			return asked.ID
		},
		AnswerID: func(resp *http.Response) string {
			return p.ext.Dialect.Answer(resp.StatusCode, resp.Header).ID
		},
	}
}

// retryShare returns this entry's part of the bound of retries. Entries that
// have just joined may not be known here yet.
func (p *process) retryShare() proxy.SharedRetryPolicy {
	r := p.set.Retry
	if r == nil {
		return proxy.SharedRetryPolicy{}
	}
	return proxy.SharedRetryPolicy{
		Policy: retry.Policy{Percent: 100 * r.Ratio, Slack: r.Slack, Window: r.Window.AsDuration()},
		Entries: func() int {
			if s := p.store.Load(); s != nil {
				return s.EntryCount() + joiningEntries
			}
			return 1
		},
	}
}

// joiningEntries are counted beside the known ones.
const joiningEntries = 2

// steering returns the servers of callers and of other entries.
func (p *process) steering() (callers, peers *caller.Server) {
	cfg := proxy.Config{
		Instance: p.set.Instance, DataCentre: p.set.DataCentre, Store: p.store, Dialect: p.ext.Dialect,
		Ready: p.ready, Groups: p.groups, Guarded: p.guarded,
		Caps: &caps{p.shared, p.store}, Places: spill.NewChooser(p.links, rand.Float64), Ledger: p.ledger,
		Shares:   spill.NewRegionShiftLimiter(p.set.Region, p.set.RegionShift, spill.DefaultRegionShiftWindow),
		Services: &proxy.ServiceStates{}, SharedRetries: p.retryShare(), Bodies: proxy.NewBodyMemory(bodyMemory(p.set)), Targets: p.targetTransport(), Peers: &target.Transport{Dial: p.peers.DialHTTP},
		Now: time.Now, Log: p.log, Metrics: p.scope,
	}
	look := lookup.New(lookup.Config{
		Instance: p.set.Instance, DataCentre: p.set.DataCentre, Store: p.store, Blocks: &p.blocks,
		Ready: p.follower.Ready, Stopping: p.stopping, Dispatcher: p.groups.Home, Usable: p.groups.Usable,
		KeyToken: func(service string) string { return p.groups.Group(service).Token },
		Metrics:  p.scope,
	})
	mux := http.NewServeMux()
	mux.Handle("GET /lookup", look)
	front, back := proxy.New(cfg, false), proxy.New(cfg, true)
	mux.Handle("/", front)
	return p.callerServer(mux, front), p.callerServer(back, back)
}
