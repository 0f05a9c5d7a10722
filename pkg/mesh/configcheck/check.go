// Package configcheck checks a configuration before an operator stores it: errors,
// entries that can never match, limits that contradict each other, and what differs from
// the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Severity says what a finding means.
type Severity string

// The severities. A configuration with an Error must not be stored; one with only Warnings
// is used as it is.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the faulty part, such as a route with its host and prefix.
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

// Report is the result of Check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes lists what differs from the configuration in force; nil if none was given.
	Changes []Change `json:"changes,omitempty"`
}

// HasErrors reports whether the configuration must not be stored.
func (r Report) HasErrors() bool {
	return slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Severity == Error })
}

// Check checks a configuration. inForce is the version that it would replace, nil if it is
// not known. regions are the regions of the deployment; if there are none, the names of
// regions are not checked.
func Check(c mesh.Configuration, inForce *mesh.Configuration, regions []string) Report {
	k := &checker{configuration: c, regions: regions}
	if _, err := mesh.Compile(c); err != nil {
		k.report(Error, "configuration", "%v", err)
	}
	k.checkLimits()
	k.checkRoutes()
	k.checkServices()
	k.checkTenants()
	report := Report{}
	if inForce != nil {
		if c.Version <= inForce.Version {
			k.report(Error, "version", "version %d is not above version %d in force, so that nodes ignore it", c.Version, inForce.Version)
		}
		report.Changes = compare(*inForce, c)
	}
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	report.Findings = k.findings
	return report
}

type checker struct {
	configuration mesh.Configuration
	regions       []string
	findings      []Finding
}

func (k *checker) report(s Severity, entry, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: s, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) checkLimits() {
	l := k.configuration.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 {
		k.report(Error, "limits", "a size is negative")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		k.report(Warning, "limits", "idle_timeout %v is below header_timeout %v: a connection may be closed before its first header is late", l.IdleTimeout, l.HeaderTimeout)
	}
}

func routeEntry(r *mesh.Route) string {
	return fmt.Sprintf("route %q (%s%s)", r.Name, r.Host, r.Prefix)
}

func (k *checker) checkRoutes() {
	seen := make(map[string]string)
	for i := range k.configuration.Routes {
		r := &k.configuration.Routes[i]
		entry := routeEntry(r)
		place := r.Host + r.Prefix
		if first, ok := seen[place]; ok {
			k.report(Error, entry, "never matches: %s has the same host and prefix", first)
		} else {
			seen[place] = entry
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			k.report(Error, entry, "the prefix does not begin and end with a slash")
		}
		if r.Host == "" {
			k.report(Error, entry, "never matches: it has no host")
		}
		k.checkRouteLimits(r, entry)
		k.checkRegions(entry, r.AllowedRegions)
		for _, weighted := range r.WeightedServices {
			if weighted.Weight == 0 {
				k.report(Warning, entry, "service %q has the weight 0 and gets no requests", weighted.Service)
			}
		}
		names := lo.Map(r.WeightedServices, func(w mesh.WeightedService, _ int) string { return w.Service })
		for _, name := range lo.FindDuplicates(names) {
			k.report(Warning, entry, "service %q is listed twice", name)
		}
	}
}

func (k *checker) checkRouteLimits(r *mesh.Route, entry string) {
	switch {
	case r.Timeout < 0 || r.TargetLatency < 0:
		k.report(Error, entry, "a time is negative")
	case r.Timeout > 0 && r.TargetLatency > r.Timeout:
		k.report(Error, entry, "target_latency %v is above the timeout %v: no response can be late and still arrive", r.TargetLatency, r.Timeout)
	case r.Timeout == 0:
		k.report(Warning, entry, "there is no timeout")
	}
	if r.MaxAttempts < 1 {
		k.report(Warning, entry, "max_attempts is %d; one attempt is made nevertheless", r.MaxAttempts)
	}
	if r.Priority < 0 {
		k.report(Error, entry, "the priority is negative")
	}
	if r.Kind == mesh.Unsafe && r.MaxAttempts > 1 {
		k.report(Warning, entry, "unsafe requests are sent to another endpoint only while they have not run")
	}
}

func (k *checker) checkServices() {
	used, seen := make(map[string]bool), make(map[string]bool)
	for _, r := range k.configuration.Routes {
		for _, weighted := range r.WeightedServices {
			used[weighted.Service] = used[weighted.Service] || weighted.Weight > 0
		}
	}
	for _, s := range k.configuration.Services {
		entry := fmt.Sprintf("service %q", s.Name)
		if seen[s.Name] {
			k.report(Error, entry, "it is defined twice")
		}
		seen[s.Name] = true
		if !used[s.Name] {
			k.report(Warning, entry, "no route leads to it")
		}
		switch {
		case s.ColdPerSecond < 0 || s.ColdStart < 0:
			k.report(Error, entry, "a limit of cold endpoints is negative")
		case s.ColdPerSecond > 0 && s.ColdStart == 0:
			k.report(Warning, entry, "cold_per_s has no cold_start: only endpoints that say that they are cold are limited")
		case s.ColdPerSecond > 0 && s.HealthCheckPath == "":
			k.report(Warning, entry, "cold_per_s without a health_check_path: endpoints cannot be asked whether they are cold")
		}
	}
}

// minUsableBurst is the burst below which evenly spread requests within the rate are
// refused, because a bucket of less than one token admits none.
const minUsableBurst = 1

func (k *checker) checkTenants() {
	tenants := k.configuration.Tenants
	if len(tenants) > 0 && len(k.configuration.Routes) > 0 && lo.EveryBy(k.configuration.Routes, func(r mesh.Route) bool { return r.Public }) {
		k.report(Warning, "tenants", "all routes are public: no request needs a key")
	}
	for _, t := range tenants {
		entry := fmt.Sprintf("tenant %q", t.Name)
		switch {
		case len(t.Keys) == 0:
			k.report(Warning, entry, "never matches: it has no key")
		case slices.Contains(t.Keys, ""):
			k.report(Error, entry, "a key is empty")
		case len(lo.Uniq(t.Keys)) < len(t.Keys):
			k.report(Warning, entry, "a key is listed twice")
		}
		switch {
		case t.RatePerSecond == 0 && t.Burst > 0:
			k.report(Warning, entry, "burst has no effect without rate_per_s")
		case t.RatePerSecond > 0 && t.Burst < minUsableBurst:
			k.report(Error, entry, "a burst of %g admits no request", t.Burst)
		}
		if t.Priority < 0 {
			k.report(Error, entry, "the priority is negative")
		}
		k.checkRegions(entry, t.AllowedRegions)
		if len(t.AllowedRegions) == 0 {
			continue
		}
		for i := range k.configuration.Routes {
			r := &k.configuration.Routes[i]
			if len(r.AllowedRegions) > 0 && len(lo.Intersect(t.AllowedRegions, r.AllowedRegions)) == 0 {
				k.report(Warning, entry, "%s can never serve it: no region is allowed by both", routeEntry(r))
			}
		}
	}
}

func (k *checker) checkRegions(entry string, allowed []string) {
	if len(k.regions) == 0 {
		return
	}
	for _, region := range allowed {
		if !slices.Contains(k.regions, region) {
			k.report(Error, entry, "there is no region %q", region)
		}
	}
}

// formatDuration returns a duration as configurations write it.
func formatDuration(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
