package configcheck

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// ChangeKind says what happens to an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference between two configurations.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Entry string     `json:"entry"`
	// Fields lists the changed fields as "name: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// compare returns the differences between two configurations, ordered by entry.
func compare(before, after mesh.Configuration) []Change {
	changes := []Change{}
	old, current := entriesOf(before), entriesOf(after)
	for name, e := range current {
		known, ok := old[name]
		if !ok {
			changes = append(changes, Change{Kind: Added, Entry: name})
			continue
		}
		var fields []string
		for field, value := range e {
			if known[field] != value {
				fields = append(fields, fmt.Sprintf("%s: %s -> %s", field, known[field], value))
			}
		}
		if len(fields) > 0 {
			slices.Sort(fields)
			changes = append(changes, Change{Kind: Changed, Entry: name, Fields: fields})
		}
	}
	for name := range old {
		if _, ok := current[name]; !ok {
			changes = append(changes, Change{Kind: Removed, Entry: name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Entry, b.Entry) })
	return changes
}

// entriesOf returns the fields of all parts of a configuration, by entry, in a form that can
// be compared and shown.
func entriesOf(c mesh.Configuration) map[string]map[string]string {
	entries := make(map[string]map[string]string)
	add := func(name string, fields map[string]string) { entries[name] = fields }
	add("limits", map[string]string{
		"max_header_bytes": fmt.Sprint(c.Limits.MaxHeaderBytes), "max_body_bytes": fmt.Sprint(c.Limits.MaxBodyBytes),
		"header_timeout": formatDuration(c.Limits.HeaderTimeout), "idle_timeout": formatDuration(c.Limits.IdleTimeout),
	})
	for _, r := range c.Routes {
		services := lo.Map(r.WeightedServices, func(w mesh.WeightedService, _ int) string { return fmt.Sprintf("%s=%d", w.Service, w.Weight) })
		add(fmt.Sprintf("route %s%s", r.Host, r.Prefix), map[string]string{
			"name": r.Name, "kind": r.Kind.String(), "services": strings.Join(services, ","), "timeout": formatDuration(r.Timeout),
			"target_latency": formatDuration(r.TargetLatency), "max_attempts": fmt.Sprint(r.MaxAttempts), "priority": fmt.Sprint(r.Priority),
			"public": fmt.Sprint(r.Public), "allowed_regions": joinSorted(r.AllowedRegions),
		})
	}
	for _, s := range c.Services {
		add("service "+s.Name, map[string]string{
			"max_connections": fmt.Sprint(s.MaxConnections), "health_check_path": s.HealthCheckPath,
			"cold_start": formatDuration(s.ColdStart), "cold_per_s": fmt.Sprint(s.ColdPerSecond),
		})
	}
	for _, t := range c.Tenants {
		add("tenant "+t.Name, map[string]string{
			"priority": fmt.Sprint(t.Priority), "rate_per_s": fmt.Sprint(t.RatePerSecond), "burst": fmt.Sprint(t.Burst),
			"allowed_regions": joinSorted(t.AllowedRegions), "api_keys": joinSorted(lo.Map(t.Keys, func(key string, _ int) string { return keyDigest(key) })),
		})
	}
	return entries
}

func joinSorted(list []string) string { return strings.Join(slices.Sorted(slices.Values(list)), ",") }

// keyDigestBytes is enough to tell the keys of a deployment apart and reveals none.
const keyDigestBytes = 4

// keyDigest returns what is shown of a key: keys are secrets.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyDigestBytes])
}
