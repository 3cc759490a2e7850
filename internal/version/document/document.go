// Package document defines the steering document, its YAML form and its
// validation. The document has one section per team. The section of the team
// "platform" describes the regions, data centres and links.
package document

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
)

// PlatformTeam is the team whose section holds the regions, links and global
// limits.
const PlatformTeam = "platform"

// Class is the scheduling class of a route.
type Class string

// The scheduling classes.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Section is one team's part of the document.
type Section struct {
	Team string `yaml:"team"`
	// Serial is a version number that the operator assigns to the section. If
	// it is set, each change must increase it.
	Serial   uint64    `yaml:"serial,omitempty"`
	Regions  []Region  `yaml:"regions,omitempty"`
	Links    []Link    `yaml:"links,omitempty"`
	Limits   *Limits   `yaml:"limits,omitempty"`
	Services []Service `yaml:"services,omitempty"`
	Shifts   []Shift   `yaml:"shifts,omitempty"`
	Drains   []Drain   `yaml:"drains,omitempty"`
	// HostRoutes hold the rules for requests by host and path, for services of
	// any section.
	HostRoutes   []HostRoute   `yaml:"host_routes,omitempty"`
	CallerLimits *CallerLimits `yaml:"callers,omitempty"`
}

// Region is a group of data centres that are near each other.
type Region struct {
	Name        string   `yaml:"name"`
	DataCentres []string `yaml:"data_centres"`
}

// Link limits the system's traffic from one region to another.
type Link struct {
	From           string `yaml:"from"`
	To             string `yaml:"to"`
	BytesPerSecond int64  `yaml:"bytes_per_second"`
	DelayMs        int    `yaml:"delay_ms,omitempty"` // one way, milliseconds
}

// Limits are the global limits of a deployment.
type Limits struct {
	LongestDeadline      Duration `yaml:"longest_deadline,omitempty"`
	LookupTTL            Duration `yaml:"lookup_ttl,omitempty"`
	IdempotencyRetention Duration `yaml:"once_retention,omitempty"`
}

// Service describes where a service runs and how its requests are steered.
type Service struct {
	Name             string       `yaml:"name"`
	DataCentres      []string     `yaml:"data_centres"`
	SlotsPerTarget   int          `yaml:"slots_per_target"`
	QueueLimit       int          `yaml:"queue_limit,omitempty"`
	DispatchShards   int          `yaml:"dispatch_shards,omitempty"`
	DefaultDeadline  Duration     `yaml:"default_deadline,omitempty"`
	MaxDeadline      Duration     `yaml:"max_deadline,omitempty"` // longest deadline of an admitted request; default: the global limit
	MaxBodyBytes     int64        `yaml:"max_body_bytes,omitempty"`
	Warmup           Duration     `yaml:"warmup,omitempty"`
	LongSharePercent int          `yaml:"long_share_percent,omitempty"`
	Routes           []Route      `yaml:"routes"`
	Hedge            *HedgePolicy `yaml:"hedge,omitempty"`
	Retry            *RetryPolicy `yaml:"retry,omitempty"`
	// GuardedSlots states that the platform lists the targets with their slots,
	// and that a target itself rejects the requests that exceed its slots, with
	// proof that they did not run. Such a service runs wherever it has targets:
	// data_centres, slots_per_target and routes must be left out.
	GuardedSlots   bool        `yaml:"guarded_slots,omitempty"`
	HealthPath     string      `yaml:"health_path,omitempty"`
	MaxConnections int         `yaml:"max_connections,omitempty"` // per target, from all entry instances together
	Protocol       string      `yaml:"protocol,omitempty"`        // of the targets; "h1" if empty
	ColdStart      *ColdPolicy `yaml:"cold,omitempty"`
	// UnframedAnswers accepts a response without Content-Length and chunked
	// encoding as complete if its connection closes without an error. If it is
	// not set, such a response is rejected.
	UnframedAnswers bool `yaml:"unframed_answers,omitempty"`
}

// ColdPolicy bounds the requests to a target in the period after its start.
type ColdPolicy struct {
	Period    Duration `yaml:"for"`
	PerSecond float64  `yaml:"per_second"` // from all entry instances together
}

// ProtocolHTTP1 is the only protocol of targets that is supported.
const ProtocolHTTP1 = "h1"

// HostRoute holds the rules for the requests to Host whose path starts with
// Prefix. The route with the longest matching prefix applies. A request that is
// not safe is sent again only if it provably did not run.
type HostRoute struct {
	Name             string        `yaml:"name"`
	Host             string        `yaml:"host"`
	Prefix           string        `yaml:"prefix"` // starts and ends with a slash
	Safe             bool          `yaml:"safe,omitempty"`
	Timeout          Duration      `yaml:"timeout"`
	LatencyObjective Duration      `yaml:"latency_objective,omitempty"`
	Priority         int           `yaml:"priority,omitempty"` // 0 is the most urgent
	MaxAttempts      int           `yaml:"max_attempts,omitempty"`
	Affinity         bool          `yaml:"affinity,omitempty"`
	HomeRegions      []string      `yaml:"home_regions,omitempty,flow"` // empty: all
	Services         []ServicePart `yaml:"services,flow"`
}

// ServicePart is a service with its share of a route's requests, relative to
// the other services of the route.
type ServicePart struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// CallerLimits bound the size of a caller's requests and the time that a caller
// may take for a header or stay idle.
type CallerLimits struct {
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty"`
	IdleTimeout    Duration `yaml:"idle_timeout,omitempty"`
}

// Route holds the rules for the requests of its service whose path starts with
// Path. The route with the longest matching path applies.
type Route struct {
	Path       string   `yaml:"path"`
	Methods    []string `yaml:"methods,omitempty"` // empty: all
	Class      Class    `yaml:"class,omitempty"`
	Safe       bool     `yaml:"safe,omitempty"` // may be hedged
	AtMostOnce bool     `yaml:"once,omitempty"` // must run at most once for each idempotency key
}

// HedgePolicy bounds hedged requests, as a percentage of all requests.
type HedgePolicy struct {
	BudgetPercent int      `yaml:"budget_percent"`
	MinDelay      Duration `yaml:"min_delay,omitempty"`
}

// RetryPolicy bounds retries, as a percentage of all requests and per request.
type RetryPolicy struct {
	BudgetPercent int `yaml:"budget_percent"`
	MaxAttempts   int `yaml:"max_attempts,omitempty"`
}

// Shift is a customer. Cap limits its requests in flight, worldwide.
type Shift struct {
	Name string `yaml:"name"`
	Cap  int    `yaml:"cap"`
}

// Drain takes instances out of service: the entry instance named by Instance or,
// if that is empty, the targets that match all other fields. An empty field
// matches every value.
type Drain struct {
	DataCentre string `yaml:"data_centre,omitempty"`
	Service    string `yaml:"service,omitempty"`
	Target     string `yaml:"target,omitempty"`
	Instance   string `yaml:"instance,omitempty"`
}

// Duration is a time.Duration that YAML holds in Go duration syntax, such as
// "250ms".
type Duration = yamlpos.Duration

// Document is the whole steering document. Its sections are keyed by team.
type Document struct {
	Sections map[string]*Section
}

// Defaults for fields that a section leaves out.
const (
	DefaultLongestDeadline      = 60 * time.Second
	DefaultLookupTTL            = 2 * time.Second
	DefaultIdempotencyRetention = 10 * time.Minute
	DefaultDeadline             = 5 * time.Second
	DefaultQueueLimit           = 256 // requests in the queue of a dispatch group
	DefaultMaxBodyBytes         = 1 << 20
	DefaultWarmup               = 5 * time.Second
	DefaultLongSharePercent     = 50 // of a group's slots
	DefaultRetryBudgetPercent   = 10 // of requests
	DefaultRetryAttempts        = 3
	DefaultHedgeMinDelay        = 5 * time.Millisecond
	DefaultMaxHeaderBytes       = 32 << 10
	DefaultHeaderTimeout        = 5 * time.Second
	DefaultIdleTimeout          = 60 * time.Second
)

// WithDefaults returns a copy of s with the defaults filled in.
func (s Service) WithDefaults() Service {
	setDefault(&s.QueueLimit, DefaultQueueLimit)
	setDefault(&s.DispatchShards, 1)
	setDefault(&s.DefaultDeadline, Duration(DefaultDeadline))
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Warmup, Duration(DefaultWarmup))
	setDefault(&s.LongSharePercent, DefaultLongSharePercent)
	retry := RetryPolicy{BudgetPercent: DefaultRetryBudgetPercent, MaxAttempts: DefaultRetryAttempts}
	if s.Retry != nil {
		retry = *s.Retry
		setDefault(&retry.MaxAttempts, DefaultRetryAttempts)
	}
	s.Retry = &retry
	if s.Hedge != nil {
		hedge := *s.Hedge
		setDefault(&hedge.MinDelay, Duration(DefaultHedgeMinDelay))
		s.Hedge = &hedge
	}
	routes := make([]Route, len(s.Routes))
	copy(routes, s.Routes)
	for i := range routes {
		setDefault(&routes[i].Class, Short)
	}
	s.Routes = routes
	return s
}

// WithDefaults returns a copy of l with the defaults filled in. A nil l gives
// all defaults.
func (l *CallerLimits) WithDefaults() CallerLimits {
	var out CallerLimits
	if l != nil {
		out = *l
	}
	setDefault(&out.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&out.HeaderTimeout, Duration(DefaultHeaderTimeout))
	setDefault(&out.IdleTimeout, Duration(DefaultIdleTimeout))
	return out
}

// WithDefaults returns a copy of l with the defaults filled in. A nil l gives
// all defaults.
func (l *Limits) WithDefaults() Limits {
	var out Limits
	if l != nil {
		out = *l
	}
	setDefault(&out.LongestDeadline, Duration(DefaultLongestDeadline))
	setDefault(&out.LookupTTL, Duration(DefaultLookupTTL))
	setDefault(&out.IdempotencyRetention, Duration(DefaultIdempotencyRetention))
	return out
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
