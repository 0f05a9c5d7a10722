// Package dynamic parses, validates and compiles the configuration that operators
// edit: customers and their plans, the services that each plan may call, and the
// departments that own the services' routes.
package dynamic

import "time"

// Config is the parsed and validated content of the customer list and the
// entitlement list.
type Config struct {
	Customers   []Customer   `cbor:"1,keyasint" json:"customers" yaml:"customers"`
	Plans       []Plan       `cbor:"2,keyasint" json:"plans" yaml:"plans"`
	Services    []Service    `cbor:"3,keyasint" json:"services" yaml:"services"`
	Departments []Department `cbor:"4,keyasint" json:"departments" yaml:"departments"`
}

// Customer holds one plan and authenticates with any of its keys.
type Customer struct {
	Name string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Plan string `cbor:"2,keyasint" json:"plan" yaml:"plan"`
	// KeyDigests are the SHA-256 digests of the customer's keys in lower-case hex.
	KeyDigests []string `cbor:"3,keyasint" json:"keyDigests" yaml:"keyDigests"`
}

// Plan is a set of entitlements and limits that apply to each of its customers.
type Plan struct {
	Name     string        `cbor:"1,keyasint" json:"name" yaml:"name"`
	Limits   Limits        `cbor:"2,keyasint" json:"limits" yaml:"limits"`
	Services []Entitlement `cbor:"3,keyasint" json:"services" yaml:"services"`
}

// Limits bound each customer of a plan. Zero means no limit, except for Weight.
type Limits struct {
	// RatePerSecond and Burst bound calls at each entry node.
	RatePerSecond float64 `cbor:"1,keyasint" json:"ratePerSecond,omitempty" yaml:"ratePerSecond,omitempty"`
	Burst         int     `cbor:"2,keyasint" json:"burst,omitempty" yaml:"burst,omitempty"`
	// Concurrency bounds calls in flight at each entry node.
	Concurrency int `cbor:"3,keyasint" json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Weight is the customer's weight when customers compete for a target's
	// concurrency slots; at least 1.
	Weight int `cbor:"4,keyasint" json:"share,omitempty" yaml:"share,omitempty"`
}

// Entitlement allows calls to a service. Empty Routes allow all its routes.
type Entitlement struct {
	Service string   `cbor:"1,keyasint" json:"service" yaml:"service"`
	Routes  []string `cbor:"2,keyasint" json:"routes,omitempty" yaml:"routes,omitempty"`
}

// Service is a group of targets that serve the same routes.
type Service struct {
	Name   string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Routes []Route `cbor:"2,keyasint" json:"routes" yaml:"routes"`
	// Version is the target version that gets all traffic when no move is in progress.
	Version string `cbor:"3,keyasint" json:"version" yaml:"version"`
	// Move is nil if no move is requested.
	Move *Move `cbor:"4,keyasint" json:"move,omitempty" yaml:"move,omitempty"`
	// Sticky keeps all calls of a customer on one target version during a move. The
	// traffic shares of the versions are then exact only over many customers.
	Sticky bool `cbor:"5,keyasint" json:"sticky,omitempty" yaml:"sticky,omitempty"`
}

// Route is a group of a service's calls, selected by method and path prefix.
type Route struct {
	Name       string   `cbor:"1,keyasint" json:"name" yaml:"name"`
	Methods    []string `cbor:"2,keyasint" json:"methods" yaml:"methods"`
	PathPrefix string   `cbor:"3,keyasint" json:"pathPrefix" yaml:"pathPrefix"`
	Idempotent bool     `cbor:"4,keyasint" json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Deadline bounds the duration of a call.
	Deadline   time.Duration `cbor:"5,keyasint" json:"deadline" yaml:"deadline"`
	Department string        `cbor:"6,keyasint" json:"department" yaml:"department"`
}

// Move requests that all traffic is shifted stepwise to a new target version.
type Move struct {
	ToVersion string    `cbor:"1,keyasint" json:"to" yaml:"to"`
	FinishBy  time.Time `cbor:"2,keyasint" json:"finishBy" yaml:"finishBy"`
	Paused    bool      `cbor:"3,keyasint" json:"paused,omitempty" yaml:"paused,omitempty"`
	Canceled  bool      `cbor:"4,keyasint" json:"canceled,omitempty" yaml:"canceled,omitempty"`
}

// Department defines successful calls for the routes that it owns and sets a
// service level objective (SLO) for them.
type Department struct {
	Name    string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Success Success `cbor:"2,keyasint" json:"success" yaml:"success"`
	// PromisedShare is the objective: the least share of good calls, in (0, 1].
	PromisedShare float64 `cbor:"3,keyasint" json:"promisedShare" yaml:"promisedShare"`
	// Period is the time over which the objective is evaluated.
	Period time.Duration `cbor:"4,keyasint" json:"period" yaml:"period"`
}

// Success is a department's definition of a good call.
type Success struct {
	// Statuses are the HTTP statuses ("404") and classes ("2xx") of good calls.
	Statuses []string `cbor:"1,keyasint" json:"statuses" yaml:"statuses"`
	// MaxLatency is the longest duration of a good call; 0 means no bound.
	MaxLatency time.Duration `cbor:"2,keyasint" json:"latency,omitempty" yaml:"latency,omitempty"`
}

// Part is an independently distributed piece of a configuration, such as one
// service or one group of customers.
type Part struct {
	// Name is the same in all configuration versions, for example "service/stock"
	// or "customers/17".
	Name string
	// Digest is the SHA-256 of Data in lower-case hex.
	Digest string
	Data   []byte
}

// PartRef identifies the content of a part by its digest.
type PartRef struct {
	Name      string `cbor:"1,keyasint" json:"name"`
	Digest    string `cbor:"2,keyasint" json:"digest"`
	SizeBytes int    `cbor:"3,keyasint" json:"size"`
}

// Manifest describes one accepted configuration version.
type Manifest struct {
	// Version increases strictly with each accepted configuration; 0 is none.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Digest is the SHA-256 over the sorted parts' names and digests.
	Digest string    `cbor:"2,keyasint" json:"digest"`
	Parts  []PartRef `cbor:"3,keyasint" json:"parts"`
}
