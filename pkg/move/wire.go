package move

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// wireReport is the encoding of an EvidenceReport. A decider receives one a second
// from each reporter, so it leaves out what the receiver knows: the reporter is
// the peer, and the department follows from the route.
type wireReport struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Incarnation uint64
	Through     int64
	Versions    []string
	Lines       []wireSample
}

// wireSample is a Sample with its age in periods and the index of its version in
// Versions.
type wireSample struct {
	_       struct{} `cbor:",toarray"`
	Age     uint64
	Route   string
	Version uint
	Counts  Counts
}

func encodeReport(r EvidenceReport) ([]byte, error) {
	w := wireReport{Service: r.Service, Incarnation: r.Incarnation, Through: r.LastClosedPeriod}
	for _, sample := range r.Samples {
		version := slices.Index(w.Versions, sample.Version)
		if version < 0 {
			version = len(w.Versions)
			w.Versions = append(w.Versions, sample.Version)
		}
		w.Lines = append(w.Lines, wireSample{
			Age: uint64(r.LastClosedPeriod - sample.PeriodIndex), Route: sample.Route, Version: uint(version), Counts: sample.Counts,
		})
	}
	payload, err := cbor.Marshal(w)
	return payload, eris.Wrap(err, "encode move report")
}

// decodeReport returns the report that a reporter sent. Samples of routes that the
// service does not have are dropped.
func decodeReport(payload []byte, reporter string, service func(name string) *dynamic.Service) (EvidenceReport, error) {
	var w wireReport
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return EvidenceReport{}, eris.Wrap(err, "decode move report")
	}
	r := EvidenceReport{Service: w.Service, Reporter: reporter, Incarnation: w.Incarnation, LastClosedPeriod: w.Through}
	known := service(w.Service)
	if known == nil {
		return EvidenceReport{}, eris.Errorf("move report of unknown service %q", w.Service)
	}
	departments := map[string]string{}
	for _, route := range known.Routes {
		departments[route.Name] = route.Department
	}
	for _, sample := range w.Lines {
		department, ok := departments[sample.Route]
		if !ok {
			continue
		}
		if sample.Version >= uint(len(w.Versions)) {
			return EvidenceReport{}, eris.Errorf("move report of %q is not valid", w.Service)
		}
		r.Samples = append(r.Samples, Sample{
			PeriodIndex: w.Through - int64(sample.Age), Route: sample.Route, Department: department,
			Version: w.Versions[sample.Version], Counts: sample.Counts,
		})
	}
	return r, nil
}
