package controlmain

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// pageTimeout limits the reading of one page. There is no limit for a whole list:
	// its length and its distance would decide whether it can be read at all.
	pageTimeout = time.Second
	// maxListPages bounds a list whose last page is never reached.
	maxListPages = 1000
	// maxListedTargets bounds the targets of all pages together, and so the memory of a
	// list whose pages never end: some hundred bytes each. It is five times the 10,000
	// instances of the design scale.
	maxListedTargets = 50_000
	// sequentialTime is how long the pages of the list may take one after the other. A
	// list that takes longer is read by data centre, all data centres in parallel.
	sequentialTime = 250 * time.Millisecond
	// callRateShare is the part of the platform's rate limit that is used. The rest is
	// left to a former leader that reads until it learns of its successor.
	callRateShare = 0.8
	// callBurst is how many calls may exceed the rate at once, as a part of a second.
	callBurst = 0.2
)

// TargetSource reads the platform's list of targets.
type TargetSource interface {
	// Page returns a page of the list: of one data centre, or of all if dc is empty. It
	// returns the first page for an empty token. It omits entries that cannot be
	// parsed.
	Page(ctx context.Context, dc, token string) (*TargetPage, error)
}

// TargetPage is a page of the list of targets.
type TargetPage struct {
	// Targets are those that can be used or are leaving. Their identifiers have 1 to
	// state.MaxNameBytes bytes: with another one, the state refuses the whole change.
	Targets []*fescuepb.Target
	// Unread are the data centres that have something else in place of their targets.
	// Their last reading remains in force.
	Unread []string
	Next   string // token of the next page; empty on the last one
}

// targetList is a reading of the list of targets.
type targetList struct {
	targets []*fescuepb.Target
	// dataCentres are those that were read to the end. It is nil if the list was read
	// as a whole.
	dataCentres map[string]bool
	unread      []string // data centres as in TargetPage.Unread
	pages       int
	pageTime    time.Duration // of all pages together
}

// covers reports whether the reading contains every listed target of a data centre.
func (l *targetList) covers(dc string) bool {
	return (l.dataCentres == nil || l.dataCentres[dc]) && !slices.Contains(l.unread, dc)
}

// listReader reads all pages of the list within the platform's rate limit. It is not
// safe for concurrent use.
type listReader struct {
	source       TargetSource
	log          *logrus.Entry
	limiter      *rate.Limiter
	byDataCentre bool         // read the data centres in parallel
	kept         atomic.Int64 // targets and unread data centres of the present reading
}

// newListReader returns a reader that makes at most callsPerSecond calls, or any
// number if it is 0.
func newListReader(source TargetSource, callsPerSecond float64, log *logrus.Entry) *listReader {
	limit := rate.Inf
	if callsPerSecond > 0 {
		limit = rate.Limit(callsPerSecond * callRateShare)
	}
	return &listReader{source: source, log: log, limiter: rate.NewLimiter(limit, max(1, int(callsPerSecond*callBurst)))}
}

// read reads the list, either as a whole or by data centre. With an error, the result
// has the data centres that could be read.
func (r *listReader) read(ctx context.Context, dataCentres []string) (*targetList, error) {
	r.kept.Store(0)
	read := r.readWhole
	if r.byDataCentre {
		read = r.readParts
	}
	list, err := read(ctx, dataCentres)
	r.chooseMode(list, len(dataCentres))
	return list, err
}

// readWhole reads the pages of all data centres one after the other.
func (r *listReader) readWhole(ctx context.Context, _ []string) (*targetList, error) {
	part := r.readPart(ctx, "")
	if part.err != nil {
		return &targetList{dataCentres: map[string]bool{}, pages: part.pages, pageTime: part.pageTime}, part.err
	}
	return &part.targetList, nil
}

// chooseMode decides how the list is read next time.
func (r *listReader) chooseMode(list *targetList, dataCentres int) {
	limit := sequentialTime
	if r.byDataCentre {
		limit /= 2 // avoids changes back and forth
	}
	byDataCentre := dataCentres > 1 && list.pageTime > limit
	if byDataCentre != r.byDataCentre {
		r.log.WithFields(logrus.Fields{
			"by_data_centre": byDataCentre, "pages": list.pages, "page_time_ms": list.pageTime.Milliseconds(),
		}).Info("way of reading the list of targets changed")
	}
	r.byDataCentre = byDataCentre
}

// readParts reads all data centres in parallel.
func (r *listReader) readParts(ctx context.Context, dataCentres []string) (*targetList, error) {
	parts := make([]listPart, len(dataCentres))
	var wg sync.WaitGroup
	for i, dc := range dataCentres {
		wg.Go(func() { parts[i] = r.readPart(ctx, dc) })
	}
	wg.Wait()
	list := &targetList{dataCentres: map[string]bool{}}
	var errs []error
	for i, dc := range dataCentres {
		list.pages += parts[i].pages
		list.pageTime += parts[i].pageTime
		if parts[i].err != nil {
			errs = append(errs, errkind.Wrap(errkind.Of(parts[i].err), parts[i].err, "data centre %q", dc))
			continue
		}
		list.dataCentres[dc] = true
		list.targets = append(list.targets, parts[i].targets...)
		list.unread = append(list.unread, parts[i].unread...)
	}
	return list, errors.Join(errs...)
}

// listPart is the reading of one data centre, or of the whole list.
type listPart struct {
	targetList
	err error
}

// readPart reads the pages of a data centre, or of all if dc is empty, one after the
// other.
func (r *listReader) readPart(ctx context.Context, dc string) listPart {
	var part listPart
	token := ""
	for range maxListPages {
		page, took, err := r.readPage(ctx, dc, token)
		part.pageTime += took
		if err != nil {
			part.err = err
			return part
		}
		if r.kept.Add(int64(len(page.Targets)+len(page.Unread))) > maxListedTargets {
			part.err = errkind.New(errkind.BadRequest, "the list of targets has more than %d targets", maxListedTargets)
			return part
		}
		part.pages++
		part.targets = append(part.targets, page.Targets...)
		part.unread = append(part.unread, page.Unread...)
		if page.Next == "" {
			return part
		}
		token = page.Next
	}
	part.err = errkind.New(errkind.BadRequest, "the list of targets has more than %d pages", maxListPages)
	return part
}

// readPage reads a page once the rate limit permits. The returned time does not
// include the wait for that.
func (r *listReader) readPage(ctx context.Context, dc, token string) (*TargetPage, time.Duration, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return nil, 0, errkind.Wrap(errkind.Stopping, err, "wait for the rate limit of the list of targets")
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, err := r.source.Page(ctx, dc, token)
	if err == nil {
		err = page.check(dc)
	}
	return page, time.Since(start), err
}

// check returns an error if the page is not one of the requested data centre. A second
// copy of an earlier answer, late on a connection that is in use again, would otherwise
// remove all targets of that data centre. A repeated page of the same one only leads to
// the same next page again.
func (p *TargetPage) check(dc string) error {
	for _, t := range p.Targets {
		if dc != "" && t.DataCentre != dc {
			return errkind.New(errkind.AnswerMismatch, "a page of the list of targets for %q has a target in %q", dc, t.DataCentre)
		}
	}
	return nil
}

// listedDataCentres returns the data centres of the settings and of the committed
// targets, ordered by name.
func listedDataCentres(configured map[string]string, committed []*fescuepb.Target) []string {
	names := map[string]bool{}
	for dc := range configured {
		names[dc] = true
	}
	for _, t := range committed {
		names[t.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}
