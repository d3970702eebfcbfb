package demonstrator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"snipedyke/internal/standin"
)

// collector collects the outcomes of calls.
type collector struct {
	mu       sync.Mutex
	outcomes []*outcome
	// duplicates are the second calls of requests that were sent twice. They
	// are checked for violations but not counted in the classes.
	duplicates []*outcome
	answered   int
}

func newCollector() *collector { return &collector{} }

func (c *collector) add(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if o.code == "" {
		c.answered++
	}
}

func (c *collector) addDuplicate(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duplicates = append(c.duplicates, o)
}

func (c *collector) counts() (answered, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.answered, len(c.outcomes) - c.answered
}

// report summarizes the outcomes. All calls must have ended.
func (c *collector) report(name string, w *workload, fleet *standin.Fleet) SiteReport {
	r := SiteReport{Name: name}
	classes := map[string]*ClassReport{}
	firstTokens := map[string][]time.Duration{}
	for _, o := range c.outcomes {
		class := classes[o.call.class.Name]
		if class == nil {
			class = &ClassReport{Class: o.call.class.Name, Tier: o.call.class.Tier, Refusals: map[string]int{}}
			classes[class.Class] = class
		}
		class.Requests++
		if o.code != "" {
			class.Refusals[o.code]++

			continue
		}
		class.Answered++
		class.deliveredTokens += o.tokens
		firstTokens[class.Class] = append(firstTokens[class.Class], o.firstToken)
		if o.meetsTargets() {
			class.Met++
		}
	}
	produced := producedByTier(fleet.RunLog.Runs())
	for _, class := range classes {
		slices.Sort(firstTokens[class.Class])
		class.P50, class.P95 = quantile(firstTokens[class.Class], 0.5), quantile(firstTokens[class.Class], 0.95)
		class.Attainment = ratio(class.Met, class.Requests)
		class.Tokens = produced[class.Tier]
		class.Wasted = max(0, class.Tokens-class.deliveredTokens)
		r.Classes = append(r.Classes, *class)
	}
	slices.SortFunc(r.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Tier, b.Tier) })
	for _, s := range fleet.Stats() {
		r.Overshoots += s.Overshoots
	}
	r.Violations = c.violations(w, fleet.RunLog.Runs())

	return r
}

// producedByTier returns the number of tokens that engines generated, by tier.
func producedByTier(runs []standin.Run) map[int]int {
	produced := map[int]int{}
	for _, r := range runs {
		produced[r.Priority] += r.Tokens
	}

	return produced
}

// quantile returns the quantile q of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}

	return float64(n) / float64(total)
}

// maxViolations is the maximum number of violations that a report lists.
const maxViolations = 20

// violations describes the violated guarantees: wrong answers, requests that ran
// twice although they must not be repeated, and statements about runs that the
// log of runs contradicts.
func (c *collector) violations(w *workload, runs []standin.Run) []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	ran := map[string]int{}
	for _, r := range runs {
		if strings.HasPrefix(r.Path, w.postPath+"/") {
			ran[r.Path]++
		}
	}
	// reportedNotRun maps the path of each request to whether every response
	// stated that the request did not run.
	reportedNotRun := map[string]bool{}
	for _, o := range slices.Concat(c.outcomes, c.duplicates) {
		if o.isWrong() {
			add("%s got a wrong answer of %d bytes (%s)", o.call.id, len(o.text), cmp.Or(o.code, "whole"))
		}
		if o.call.class != w.postClass {
			continue
		}
		path := o.call.endpointPath
		if o.code == "" && ran[path] == 0 {
			add("%s was answered but did not run", o.call.id)
		}
		before, known := reportedNotRun[path]
		reportedNotRun[path] = o.runStatement == runNotRun && (before || !known)
	}
	for _, path := range slices.Sorted(maps.Keys(ran)) {
		if ran[path] > 1 {
			add("%s ran %d times", path, ran[path])
		}
		if reportedNotRun[path] {
			add("%s ran, but its caller was told that it did not", path)
		}
	}
	if len(found) > maxViolations {
		found = append(found[:maxViolations], fmt.Sprintf("and %d more", len(found)-maxViolations))
	}

	return found
}
