package report

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/platform"
)

// indexName is the name of the KindReportPeriod object that lists the failure domains
// with stored counters. With it, reports include a failure domain even while all its
// nodes are unreachable.
const indexName = "domains"

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
)

// objectName returns the name of a failure domain's object that begins at start, in
// seconds since the Unix epoch.
func objectName(domain string, start int64) string {
	return fmt.Sprintf("%s-%s", domain, time.Unix(start, 0).UTC().Format("20060102t150405"))
}

func encodeContent(content ObjectContent) ([]byte, error) {
	plain, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encode report period")
	}
	return encoder.EncodeAll(plain, nil), nil
}

func decodeContent(value []byte) (content ObjectContent, err error) {
	plain, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return content, eris.Wrap(err, "decompress report period")
	}
	return content, eris.Wrap(cbor.Unmarshal(plain, &content), "decode report period")
}

// readObject returns the content and resource version of an object, both empty if the
// object does not exist.
func readObject(ctx context.Context, store platform.Store, name string) (content ObjectContent, version string, err error) {
	object, err := store.Get(ctx, platform.KindReportPeriod, name)
	if errors.Is(err, platform.ErrNotFound) {
		return content, "", nil
	}
	if err != nil {
		return content, "", err
	}
	content, err = decodeContent(object.Value)
	return content, object.ResourceVersion, err
}

// writeObject creates an object if version is empty and otherwise updates it if its
// resource version is still version. It returns the new resource version.
func writeObject(ctx context.Context, store platform.Store, name, version string, content ObjectContent) (string, error) {
	value, err := encodeContent(content)
	if err != nil {
		return "", err
	}
	if len(value) > platform.MaxValueBytes {
		return "", eris.Errorf("report period %s has %d bytes", name, len(value))
	}
	var object platform.Object
	if version == "" {
		object, err = store.Create(ctx, platform.KindReportPeriod, name, value)
	} else {
		object, err = store.Update(ctx, platform.Object{
			Kind: platform.KindReportPeriod, Name: name, ResourceVersion: version, Value: value,
		})
	}
	return object.ResourceVersion, err
}

// deleteObject deletes an object if it exists.
func deleteObject(ctx context.Context, store platform.Store, name string) error {
	object, err := store.Get(ctx, platform.KindReportPeriod, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return store.Delete(ctx, platform.KindReportPeriod, name, object.ResourceVersion)
}

// readIndex returns the failure domains in the index and its resource version.
func readIndex(ctx context.Context, store platform.Store) (domains []string, version string, err error) {
	object, err := store.Get(ctx, platform.KindReportPeriod, indexName)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	return domains, object.ResourceVersion, eris.Wrap(cbor.Unmarshal(object.Value, &domains), "decode index of reports")
}

// addToIndex adds a failure domain to the index unless it is there. A concurrent
// change is an error; the caller retries.
func addToIndex(ctx context.Context, store platform.Store, domain string) error {
	domains, version, err := readIndex(ctx, store)
	if err != nil || slices.Contains(domains, domain) {
		return err
	}
	domains = append(domains, domain)
	slices.Sort(domains)
	value, err := cbor.Marshal(domains)
	if err != nil {
		return eris.Wrap(err, "encode index of reports")
	}
	if version == "" {
		_, err = store.Create(ctx, platform.KindReportPeriod, indexName, value)
	} else {
		_, err = store.Update(ctx, platform.Object{
			Kind: platform.KindReportPeriod, Name: indexName, ResourceVersion: version, Value: value,
		})
	}
	return err
}
