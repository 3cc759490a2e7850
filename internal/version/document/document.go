// Package document holds the types of the steering document, its YAML form
// and its validation. The document has one section per team; the section of
// the team "platform" describes regions, data centres and links.
package document

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
)

// PlatformTeam owns the section with regions, links and global limits.
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
	// Serial is the operator's own number of this version of the section. If
	// it is set, each change must raise it.
	Serial   uint64    `yaml:"serial,omitempty"`
	Regions  []Region  `yaml:"regions,omitempty"`
	Links    []Link    `yaml:"links,omitempty"`
	Limits   *Limits   `yaml:"limits,omitempty"`
	Services []Service `yaml:"services,omitempty"`
	Shifts   []Shift   `yaml:"shifts,omitempty"`
	Drains   []Drain   `yaml:"drains,omitempty"`
	// HostRoutes give the rules for requests by host and path, whatever
	// service they go to.
	HostRoutes   []HostRoute   `yaml:"host_routes,omitempty"`
	CallerLimits *CallerLimits `yaml:"callers,omitempty"`
}

// Region is a group of data centres that are close to each other.
type Region struct {
	Name        string   `yaml:"name"`
	DataCentres []string `yaml:"data_centres"`
}

// Link limits the traffic of the system from one region to another.
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
	MaxDeadline      Duration     `yaml:"max_deadline,omitempty"` // longest admitted deadline; default: the global limit
	MaxBodyBytes     int64        `yaml:"max_body_bytes,omitempty"`
	Warmup           Duration     `yaml:"warmup,omitempty"`
	LongSharePercent int          `yaml:"long_share_percent,omitempty"`
	Routes           []Route      `yaml:"routes"`
	Hedge            *HedgePolicy `yaml:"hedge,omitempty"`
	Retry            *RetryPolicy `yaml:"retry,omitempty"`
	// GuardedSlots says that the platform lists the targets with their slots,
	// and that a target refuses what exceeds them, with proof. Such a service
	// runs wherever it has targets: data_centres, slots_per_target and routes
	// are left out.
	GuardedSlots   bool             `yaml:"guarded_slots,omitempty"`
	HealthPath     string           `yaml:"health_path,omitempty"`
	MaxConnections int              `yaml:"max_connections,omitempty"` // per target, of all instances
	Protocol       string           `yaml:"protocol,omitempty"`        // of the targets; "h1" if empty
	ColdStart      *ColdStartPolicy `yaml:"cold,omitempty"`
	// UnframedAnswers takes an answer that has neither a length nor chunks for
	// whole if its connection ends without an error. Otherwise it is refused.
	UnframedAnswers bool `yaml:"unframed_answers,omitempty"`
}

// ColdPolicy bounds the requests to a target that has just started.
type ColdStartPolicy struct {
	Period    Duration `yaml:"for"`
	PerSecond float64  `yaml:"per_second"` // of all instances together
}

// ProtocolHTTP1 is the only protocol of targets that is supported.
const ProtocolHTTP1 = "h1"

// HostRoute gives the rules for the requests to Host whose path starts with
// Prefix. The longest matching prefix wins. A request that is not safe is
// sent again only if it provably did not run.
type HostRoute struct {
	Name             string            `yaml:"name"`
	Host             string            `yaml:"host"`
	Prefix           string            `yaml:"prefix"` // starts and ends with a slash
	Safe             bool              `yaml:"safe,omitempty"`
	Timeout          Duration          `yaml:"timeout"`
	LatencyObjective Duration          `yaml:"latency_objective,omitempty"`
	Priority         int               `yaml:"priority,omitempty"` // 0 is the most urgent
	MaxAttempts      int               `yaml:"max_attempts,omitempty"`
	Affinity         bool              `yaml:"affinity,omitempty"`
	HomeRegions      []string          `yaml:"home_regions,omitempty,flow"` // empty: all
	Services         []WeightedService `yaml:"services,flow"`
}

// ServicePart is a service with its share of a route's requests.
type WeightedService struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty"`
	IdleTimeout    Duration `yaml:"idle_timeout,omitempty"`
}

// Route gives the rules for the requests whose path starts with Path. The
// longest matching path wins.
type Route struct {
	Path       string   `yaml:"path"`
	Methods    []string `yaml:"methods,omitempty"` // empty: all
	Class      Class    `yaml:"class,omitempty"`
	Safe       bool     `yaml:"safe,omitempty"` // may be hedged
	AtMostOnce bool     `yaml:"once,omitempty"` // must run at most once
}

// HedgePolicy bounds hedged requests.
type HedgePolicy struct {
	BudgetPercent int      `yaml:"budget_percent"`
	MinDelay      Duration `yaml:"min_delay,omitempty"`
}

// RetryPolicy bounds retries.
type RetryPolicy struct {
	BudgetPercent int `yaml:"budget_percent"`
	MaxAttempts   int `yaml:"max_attempts,omitempty"`
}

// Shift is a customer with a limit on its requests in flight worldwide.
type Shift struct {
	Name string `yaml:"name"`
	Cap  int    `yaml:"cap"`
}

// Drain takes a place out of service. Empty fields match everything.
type Drain struct {
	DataCentre string `yaml:"data_centre,omitempty"`
	Service    string `yaml:"service,omitempty"`
	Target     string `yaml:"target,omitempty"`
	Instance   string `yaml:"instance,omitempty"`
}

// Duration is a time.Duration written like "250ms" in YAML.
type Duration = yamlpos.Duration

// Document is the whole steering document, by team.
type Document struct {
	Sections map[string]*Section
}

// Defaults for fields that a section leaves out.
const (
	DefaultLongestDeadline      = 60 * time.Second
	DefaultLookupTTL            = 2 * time.Second
	DefaultIdempotencyRetention = 10 * time.Minute
	DefaultDeadline             = 5 * time.Second
	DefaultQueueLimit           = 256 // requests per dispatch group
	DefaultMaxBodyBytes         = 1 << 20
	DefaultWarmup               = 5 * time.Second
	DefaultLongSharePercent     = 50 // percent of a group's slots
	DefaultRetryBudgetPercent   = 10 // percent of requests
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
