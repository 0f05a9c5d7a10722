package dynamic

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// customerBuckets is the number of parts into which customers are partitioned by a
// hash of their names, so that a change of one customer transfers a small part.
const customerBuckets = 64

// MaxPartBytes bounds an encoded part to half of the platform's limit for one value.
const MaxPartBytes = 512 << 10

// Prefixes of part names. The rest is the name of the entry or the number of the
// customer bucket.
const (
	servicePrefix    = "service/"
	planPrefix       = "plan/"
	departmentPrefix = "department/"
	customersPrefix  = "customers/"
)

// cborEncMode encodes deterministically, so that equal values have equal digests.
var cborEncMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeParts encodes a configuration as parts, ordered by name. Equal entries are
// encoded as equal parts. It fails if a part exceeds MaxPartBytes.
func EncodeParts(config Config) ([]Part, error) {
	var parts []Part
	var errs []error
	add := func(name string, value any) {
		part, err := newPart(name, value)
		parts, errs = append(parts, part), append(errs, err)
	}
	for _, service := range config.Services {
		add(servicePrefix+service.Name, service)
	}
	for _, plan := range config.Plans {
		add(planPrefix+plan.Name, plan)
	}
	for _, department := range config.Departments {
		add(departmentPrefix+department.Name, department)
	}
	for bucket, customers := range bucketCustomers(config.Customers) {
		add(customersPartName(bucket), customers)
	}
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })
	return parts, nil
}

func bucketCustomers(customers []Customer) map[uint64][]Customer {
	buckets := make(map[uint64][]Customer)
	for _, customer := range customers {
		bucket := customerBucket(customer.Name)
		buckets[bucket] = append(buckets[bucket], customer)
	}
	for _, bucket := range buckets {
		slices.SortFunc(bucket, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	}
	return buckets
}

func customerBucket(customer string) uint64 { return xxhash.Sum64String(customer) % customerBuckets }

func customersPartName(bucket uint64) string { return fmt.Sprintf("%s%d", customersPrefix, bucket) }

func newPart(name string, value any) (Part, error) {
	data, err := cborEncMode.Marshal(value)
	if err != nil {
		return Part{}, eris.Wrapf(err, "encode part %s", name)
	}
	if len(data) > MaxPartBytes {
		return Part{}, eris.Errorf("part %s has %d bytes, the limit is %d", name, len(data), MaxPartBytes)
	}
	return Part{Name: name, Digest: SHA256Hex(data), Data: data}, nil
}

// SHA256Hex returns the SHA-256 of data in lower-case hex.
func SHA256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewManifest returns the manifest of a configuration version that consists of
// parts, which must be ordered by name.
func NewManifest(version uint64, parts []Part) Manifest {
	manifest := Manifest{Version: version, Parts: make([]PartRef, 0, len(parts))}
	for _, part := range parts {
		manifest.Parts = append(manifest.Parts, PartRef{Name: part.Name, Digest: part.Digest, SizeBytes: len(part.Data)})
	}
	manifest.Digest = manifest.contentDigest()
	return manifest
}

// contentDigest returns the SHA-256 over the names and digests of the parts.
func (m Manifest) contentDigest() string {
	hash := sha256.New()
	for _, ref := range m.Parts {
		fmt.Fprintf(hash, "%s %s\n", ref.Name, ref.Digest)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Verify returns an error unless parts are exactly those that m lists and all
// digests match.
func (m Manifest) Verify(parts []Part) error {
	if m.Digest != m.contentDigest() {
		return eris.Errorf("manifest of version %d does not match its digest", m.Version)
	}
	if len(parts) != len(m.Parts) {
		return eris.Errorf("version %d lists %d parts, got %d", m.Version, len(m.Parts), len(parts))
	}
	byName := make(map[string]Part, len(parts))
	for _, part := range parts {
		byName[part.Name] = part
	}
	for _, ref := range m.Parts {
		part, ok := byName[ref.Name]
		if !ok || SHA256Hex(part.Data) != ref.Digest {
			return eris.Errorf("part %s of version %d is missing or has a wrong digest", ref.Name, m.Version)
		}
	}
	return nil
}

// DecodeParts decodes parts into a configuration whose entries are ordered by name.
// It does not check references; Compile does.
func DecodeParts(parts []Part) (Config, error) {
	var config Config
	for _, part := range parts {
		if err := config.addPart(part); err != nil {
			return Config{}, eris.Wrapf(err, "decode part %s", part.Name)
		}
	}
	config.sort()
	return config, nil
}

func (c *Config) addPart(part Part) error {
	switch {
	case strings.HasPrefix(part.Name, servicePrefix):
		if err := decodeInto(part.Data, &c.Services); err != nil {
			return err
		}
		if move := c.Services[len(c.Services)-1].Move; move != nil {
			move.FinishBy = move.FinishBy.UTC()
		}
		return nil
	case strings.HasPrefix(part.Name, planPrefix):
		return decodeInto(part.Data, &c.Plans)
	case strings.HasPrefix(part.Name, departmentPrefix):
		return decodeInto(part.Data, &c.Departments)
	case strings.HasPrefix(part.Name, customersPrefix):
		var customers []Customer
		if err := cbor.Unmarshal(part.Data, &customers); err != nil {
			return err
		}
		c.Customers = append(c.Customers, customers...)
		return nil
	}
	return eris.New("unknown kind of part")
}

func decodeInto[T any](data []byte, list *[]T) error {
	var value T
	if err := cbor.Unmarshal(data, &value); err != nil {
		return err
	}
	*list = append(*list, value)
	return nil
}

func (c *Config) sort() {
	slices.SortFunc(c.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Plans, func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Departments, func(a, b Department) int { return cmp.Compare(a.Name, b.Name) })
}
