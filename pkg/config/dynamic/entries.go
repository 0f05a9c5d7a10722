package dynamic

import (
	"fmt"
	"math"
	"net/http"
	"path"
	"slices"
	"strings"
)

// emptyKeyDigest is the SHA-256 of no bytes, the result of hashing an unset variable.
var emptyKeyDigest = SHA256Hex(nil)

func symbol(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func routeSymbol(service, route string) string {
	return fmt.Sprintf("route %q of service %q", route, service)
}

// named reads the field "name" and notes the definition of the entry.
func (p *parser) named(o *object, kind string) string {
	v, ok := o.require("name")
	if !ok {
		return ""
	}
	name := v.matching(namePattern, nameRule)
	p.define(v.at, symbol(kind, name))
	return name
}

// reference reads a required field that names an entry of another list.
func (p *parser) reference(o *object, field, kind string) string {
	v, ok := o.require(field)
	if !ok {
		return ""
	}
	name, ok := v.text()
	if ok {
		p.refer(v.at, symbol(kind, name))
	}
	return name
}

func (p *parser) customer(o *object) Customer {
	customer := Customer{Name: p.named(o, "customer"), Plan: p.reference(o, "plan", "plan")}
	list, ok := o.require("keyDigests")
	if !ok {
		return customer
	}
	items := list.items(MaxKeysPerCustomer)
	if len(list.node.Content) == 0 {
		list.fail("must hold at least one digest; remove the customer to withdraw its access")
	}
	for _, item := range items {
		digest := item.matching(digestPattern, digestRule)
		if digest == emptyKeyDigest {
			item.fail("is the digest of an empty key")
		}
		p.define(item.at, symbol("key digest", digest))
		customer.KeyDigests = append(customer.KeyDigests, digest)
	}
	return customer
}

func (p *parser) plan(o *object) Plan {
	plan := Plan{Name: p.named(o, "plan"), Limits: Limits{Weight: 1}}
	if v, ok := o.field("limits"); ok {
		if limits := v.object(); limits != nil {
			plan.Limits = readLimits(limits)
			limits.close()
		}
	}
	plan.Services = each(o, "services", MaxServices, func(e *object) Entitlement {
		return p.entitlement(e, plan.Name)
	})
	return plan
}

// readLimits reads the limits of a plan. A rate without a burst gets the calls
// of one second as its burst, as a burst of 0 would refuse every call.
func readLimits(o *object) Limits {
	limits := Limits{Weight: 1}
	if v, ok := o.field("ratePerSecond"); ok {
		limits.RatePerSecond = v.number(func(n float64) bool { return n > 0 && n <= maxRatePerSecond },
			fmt.Sprintf("above 0 and up to %d; leave it out for no limit", maxRatePerSecond))
		limits.Burst = int(math.Ceil(limits.RatePerSecond))
	}
	if v, ok := o.field("burst"); ok {
		limits.Burst = v.integer(1, maxRatePerSecond)
		if _, ok := o.fields["ratePerSecond"]; !ok {
			v.fail("has no effect without ratePerSecond")
		}
	}
	if v, ok := o.field("concurrency"); ok {
		limits.Concurrency = v.integer(1, maxConcurrency)
	}
	if v, ok := o.field("share"); ok {
		limits.Weight = v.integer(1, maxShare)
	}
	return limits
}

func (p *parser) entitlement(o *object, plan string) Entitlement {
	entitlement := Entitlement{Service: p.reference(o, "service", "service")}
	if v, ok := o.fields["service"]; ok {
		p.define(o.place("service", v), fmt.Sprintf("entitlement of plan %q to service %q", plan, entitlement.Service))
	}
	list, ok := o.field("routes")
	if !ok {
		return entitlement
	}
	for _, item := range list.items(MaxRoutesPerService) {
		name, ok := item.text()
		if ok && slices.Contains(entitlement.Routes, name) {
			item.fail("route %s is given twice", quoted(name))
		}
		p.refer(item.at, routeSymbol(entitlement.Service, name))
		entitlement.Routes = append(entitlement.Routes, name)
	}
	if len(list.node.Content) == 0 {
		list.fail("must name a route; leave it out to allow all routes, or remove the service to allow none")
	}
	return entitlement
}

func (p *parser) service(o *object) Service {
	service := Service{Name: p.named(o, "service")}
	if v, ok := o.require("version"); ok {
		service.Version = v.matching(versionPattern, versionRule)
	}
	if v, ok := o.field("sticky"); ok {
		service.Sticky = v.boolean()
	}
	if v, ok := o.field("move"); ok {
		if move := v.object(); move != nil {
			service.Move = readMove(move, service.Version)
			move.close()
		}
	}
	patterns := make(map[string]string)
	service.Routes = each(o, "routes", MaxRoutesPerService, func(r *object) Route {
		return p.route(r, service.Name, patterns)
	})
	if list, ok := o.field("routes"); ok && len(list.node.Content) == 0 {
		list.fail("must hold at least one route")
	}
	return service
}

func readMove(o *object, version string) *Move {
	move := &Move{}
	if v, ok := o.require("to"); ok {
		move.ToVersion = v.matching(versionPattern, versionRule)
		if move.ToVersion == version {
			v.fail("must differ from version %s; remove the move if it is done", quoted(version))
		}
	}
	if v, ok := o.require("finishBy"); ok {
		move.FinishBy = v.time()
		v.places[v.at.field] = v.at
	}
	if v, ok := o.field("paused"); ok {
		move.Paused = v.boolean()
	}
	if v, ok := o.field("canceled"); ok {
		move.Canceled = v.boolean()
		if move.Canceled && move.Paused {
			v.fail("a move cannot be both paused and canceled")
		}
	}
	return move
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// route reads one route. The map patterns holds the method and prefix of each
// route of the service read so far.
func (p *parser) route(o *object, service string, patterns map[string]string) Route {
	route := Route{}
	if v, ok := o.require("name"); ok {
		route.Name = v.matching(namePattern, nameRule)
		p.define(v.at, routeSymbol(service, route.Name))
	}
	if v, ok := o.require("pathPrefix"); ok {
		route.PathPrefix = pathPrefix(v)
	}
	if v, ok := o.require("methods"); ok {
		route.Methods = readMethods(v, route, patterns)
	}
	if v, ok := o.field("idempotent"); ok {
		route.Idempotent = v.boolean()
	}
	if v, ok := o.require("deadline"); ok {
		route.Deadline = v.duration(minDeadline, maxDeadline)
	}
	route.Department = p.reference(o, "department", "department")
	return route
}

func readMethods(list value, route Route, patterns map[string]string) []string {
	var names []string
	for _, item := range list.items(len(methods)) {
		method, ok := item.text()
		if !ok {
			continue
		}
		if !slices.Contains(methods, method) {
			item.fail("%s must be one of %s", quoted(method), strings.Join(methods, ", "))
		}
		pattern := method + " " + route.PathPrefix
		if other, ok := patterns[pattern]; ok {
			item.fail("%s is already taken by route %q", pattern, other)
		}
		patterns[pattern] = route.Name
		names = append(names, method)
	}
	if len(list.node.Content) == 0 {
		list.fail("must name at least one method")
	}
	return names
}

func pathPrefix(v value) string {
	prefix, ok := v.text()
	if !ok {
		return ""
	}
	clean := path.Clean(prefix)
	hasControl := strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f })
	switch {
	case !strings.HasPrefix(prefix, "/"), prefix != clean && prefix != clean+"/",
		hasControl, strings.ContainsAny(prefix, "?#"):
		v.fail(`%s must be a path that begins with "/" and has no "//", ".", "..", "?", "#" or space`, quoted(prefix))
	case len(prefix) > maxPathPrefixBytes:
		v.fail("has %d bytes, the limit is %d", len(prefix), maxPathPrefixBytes)
	}
	return prefix
}

func (p *parser) department(o *object) Department {
	department := Department{Name: p.named(o, "department")}
	if v, ok := o.require("success"); ok {
		if success := v.object(); success != nil {
			department.Success = readSuccess(success)
			success.close()
		}
	}
	if v, ok := o.require("promisedShare"); ok {
		department.PromisedShare = v.number(func(n float64) bool { return n > 0 && n <= 1 }, "above 0 and up to 1")
	}
	if v, ok := o.require("period"); ok {
		department.Period = v.duration(minPeriod, maxPeriod)
	}
	return department
}

// maxStatuses is the number of distinct HTTP statuses and classes.
const maxStatuses = 505

func readSuccess(o *object) Success {
	var success Success
	if list, ok := o.require("statuses"); ok {
		for _, item := range list.items(maxStatuses) {
			status := item.matching(statusPattern, statusRule)
			if slices.Contains(success.Statuses, status) {
				item.fail("status %s is given twice", quoted(status))
			}
			success.Statuses = append(success.Statuses, status)
		}
		if len(list.node.Content) == 0 {
			list.fail("must name at least one status")
		}
	}
	if v, ok := o.field("latency"); ok {
		success.MaxLatency = v.duration(minDeadline, maxDeadline)
	}
	return success
}
