package dynamic

import (
	"fmt"
	"math"
	"net/http"
	"path"
	"slices"
	"strings"
)

// emptyKeyDigest is the SHA-256 of an empty key. It appears in a list if an operator
// hashes an unset shell variable.
var emptyKeyDigest = SHA256Hex(nil)

// symbol identifies an entry in definitions, references and error messages.
func symbol(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func routeSymbol(service, route string) string {
	return fmt.Sprintf("route %q of service %q", route, service)
}

// readName reads the field "name" and records the definition of the entry.
func (p *parser) readName(o *object, kind string) string {
	v, ok := o.require("name")
	if !ok {
		return ""
	}
	name := v.textMatching(namePattern, nameRule)
	p.addDefinition(v.pos, symbol(kind, name))
	return name
}

// readReference reads a required field that names an entry of the given kind.
func (p *parser) readReference(o *object, field, kind string) string {
	v, ok := o.require(field)
	if !ok {
		return ""
	}
	name, ok := v.text()
	if ok {
		p.addReference(v.pos, symbol(kind, name))
	}
	return name
}

// customer reads an entry of the customer list.
func (p *parser) customer(o *object) Customer {
	customer := Customer{Name: p.readName(o, "customer"), Plan: p.readReference(o, "plan", "plan")}
	list, ok := o.require("keyDigests")
	if !ok {
		return customer
	}
	items := list.items(MaxKeysPerCustomer)
	if len(list.node.Content) == 0 {
		list.fail("must hold at least one digest; remove the customer to withdraw its access")
	}
	for _, item := range items {
		digest := item.textMatching(digestPattern, digestRule)
		if digest == emptyKeyDigest {
			item.fail("is the digest of an empty key")
		}
		p.addDefinition(item.pos, symbol("key digest", digest))
		customer.KeyDigests = append(customer.KeyDigests, digest)
	}
	return customer
}

// plan reads a plan with its limits and entitlements.
func (p *parser) plan(o *object) Plan {
	plan := Plan{Name: p.readName(o, "plan"), Limits: Limits{Weight: 1}}
	if v, ok := o.field("limits"); ok {
		if limits := v.object(); limits != nil {
			plan.Limits = readLimits(limits)
			limits.reportUnknownFields()
		}
	}
	plan.Services = readList(o, "services", MaxServices, func(item *object) Entitlement {
		return p.entitlement(item, plan.Name)
	})
	return plan
}

// readLimits reads the limits of a plan. The burst defaults to the calls of one
// second at the given rate, because a burst of 0 would reject every call.
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
		limits.Weight = v.integer(1, maxWeight)
	}
	return limits
}

// entitlement reads one entitlement of a plan.
func (p *parser) entitlement(o *object, plan string) Entitlement {
	entitlement := Entitlement{Service: p.readReference(o, "service", "service")}
	if v, ok := o.fields["service"]; ok {
		p.addDefinition(o.position("service", v), fmt.Sprintf("entitlement of plan %q to service %q", plan, entitlement.Service))
	}
	list, ok := o.field("routes")
	if !ok {
		return entitlement
	}
	for _, item := range list.items(MaxRoutesPerService) {
		name, ok := item.text()
		if ok && slices.Contains(entitlement.Routes, name) {
			item.fail("route %s is given twice", quoteTruncated(name))
		}
		p.addReference(item.pos, routeSymbol(entitlement.Service, name))
		entitlement.Routes = append(entitlement.Routes, name)
	}
	if len(list.node.Content) == 0 {
		list.fail("must name a route; leave it out to allow all routes, or remove the service to allow none")
	}
	return entitlement
}

// service reads a service with its routes and its move.
func (p *parser) service(o *object) Service {
	service := Service{Name: p.readName(o, "service")}
	if v, ok := o.require("version"); ok {
		service.Version = v.textMatching(versionPattern, versionRule)
	}
	if v, ok := o.field("sticky"); ok {
		service.Sticky = v.boolean()
	}
	if v, ok := o.field("move"); ok {
		if move := v.object(); move != nil {
			service.Move = readMove(move, service.Version)
			move.reportUnknownFields()
		}
	}
	routesByPattern := make(map[string]string)
	service.Routes = readList(o, "routes", MaxRoutesPerService, func(item *object) Route {
		return p.route(item, service.Name, routesByPattern)
	})
	if list, ok := o.field("routes"); ok && len(list.node.Content) == 0 {
		list.fail("must hold at least one route")
	}
	return service
}

func readMove(o *object, currentVersion string) *Move {
	move := &Move{}
	if v, ok := o.require("to"); ok {
		move.ToVersion = v.textMatching(versionPattern, versionRule)
		if move.ToVersion == currentVersion {
			v.fail("must differ from version %s; remove the move if it is done", quoteTruncated(currentVersion))
		}
	}
	if v, ok := o.require("finishBy"); ok {
		move.FinishBy = v.time()
		v.movePositions[v.pos.field] = v.pos
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

var supportedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// route reads one route. routesByPattern maps method and path prefix to the
// name of the route, for all routes of the service read so far.
func (p *parser) route(o *object, service string, routesByPattern map[string]string) Route {
	route := Route{}
	if v, ok := o.require("name"); ok {
		route.Name = v.textMatching(namePattern, nameRule)
		p.addDefinition(v.pos, routeSymbol(service, route.Name))
	}
	if v, ok := o.require("pathPrefix"); ok {
		route.PathPrefix = readPathPrefix(v)
	}
	if v, ok := o.require("methods"); ok {
		route.Methods = readMethods(v, route, routesByPattern)
	}
	if v, ok := o.field("idempotent"); ok {
		route.Idempotent = v.boolean()
	}
	if v, ok := o.require("deadline"); ok {
		route.Deadline = v.duration(minDeadline, maxDeadline)
	}
	route.Department = p.readReference(o, "department", "department")
	return route
}

func readMethods(list value, route Route, routesByPattern map[string]string) []string {
	var methods []string
	for _, item := range list.items(len(supportedMethods)) {
		method, ok := item.text()
		if !ok {
			continue
		}
		if !slices.Contains(supportedMethods, method) {
			item.fail("%s must be one of %s", quoteTruncated(method), strings.Join(supportedMethods, ", "))
		}
		pattern := method + " " + route.PathPrefix
		if other, ok := routesByPattern[pattern]; ok {
			item.fail("%s is already taken by route %q", pattern, other)
		}
		routesByPattern[pattern] = route.Name
		methods = append(methods, method)
	}
	if len(list.node.Content) == 0 {
		list.fail("must name at least one method")
	}
	return methods
}

func readPathPrefix(v value) string {
	prefix, ok := v.text()
	if !ok {
		return ""
	}
	clean := path.Clean(prefix)
	hasControl := strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f })
	switch {
	case !strings.HasPrefix(prefix, "/"), prefix != clean && prefix != clean+"/",
		hasControl, strings.ContainsAny(prefix, "?#"):
		v.fail(`%s must be a path that begins with "/" and has no "//", ".", "..", "?", "#" or space`, quoteTruncated(prefix))
	case len(prefix) > maxPathPrefixBytes:
		v.fail("has %d bytes, the limit is %d", len(prefix), maxPathPrefixBytes)
	}
	return prefix
}

// department reads a department with its definition of success.
func (p *parser) department(o *object) Department {
	department := Department{Name: p.readName(o, "department")}
	if v, ok := o.require("success"); ok {
		if success := v.object(); success != nil {
			department.Success = readSuccess(success)
			success.reportUnknownFields()
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

// maxStatuses is the number of distinct texts that statusPattern matches: 500
// statuses and 5 classes.
const maxStatuses = 505

func readSuccess(o *object) Success {
	var success Success
	if list, ok := o.require("statuses"); ok {
		for _, item := range list.items(maxStatuses) {
			status := item.textMatching(statusPattern, statusRule)
			if slices.Contains(success.Statuses, status) {
				item.fail("status %s is given twice", quoteTruncated(status))
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
