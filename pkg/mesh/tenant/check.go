package tenant

// Request is what the decision about a request depends on.
type Request struct {
	// IsPublic is set if the route of the request needs no key.
	IsPublic bool
	// IsNested is set for calls that the local endpoint makes while it runs a request.
	IsNested bool
	// HasCredential is set if the request has the header for keys, IsKeyKnown if that holds
	// a key of a tenant.
	HasCredential bool
	IsKeyKnown    bool
	// IsUnsure is set if keys must not be accepted, because they may have been removed in a
	// configuration that the node could not read.
	IsUnsure bool
}

// Result is the decision about a request. Its text is the label of metrics.
type Result string

// The results of Check.
const (
	// Accepted requests run for the tenant that holds their key.
	Accepted Result = "tenant"
	// WithoutTenant requests run without a tenant because their route is public.
	WithoutTenant Result = "public"
	// Nested requests run without a tenant because an endpoint made them.
	Nested Result = "nested"
	// MissingKey and UnknownKey requests are refused for good.
	MissingKey Result = "missing-key"
	UnknownKey Result = "unknown-key"
	// Unsure requests are refused until the node has read its configuration again.
	Unsure Result = "unsure"
)

// Check decides about a request under a configuration with tenants.
func Check(r Request) Result {
	switch {
	case r.HasCredential && r.IsUnsure:
		return Unsure
	case r.IsKeyKnown:
		return Accepted
	case r.IsPublic:
		return WithoutTenant
	case r.HasCredential:
		return UnknownKey
	case r.IsNested:
		return Nested
	}
	return MissingKey
}
