GO ?= go

.PHONY: build test lint fmt demo bench fuzz

build:
	$(GO) build -o bin/ ./cmd/...

# Integration tests build the programs themselves, which the test cache does not
# see; -count=1 keeps it from answering with results of older programs.
# SKIP names tests of open faults, which .ci/run takes from KNOWN-RED.txt.
test:
	$(GO) test -count=1 -timeout 15m $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@unformatted="$$($(GO) tool gofumpt -l .)"; if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	$(GO) tool gofumpt -w .

# Starts a small deployment as processes and checks what must hold.
demo: build
	$(GO) run ./test/demo -bin bin

# Runs the measurements of docs/measurements.md; JSON reports go to out/.
bench: build
	$(GO) run ./test/bench/report -bin bin -json out/bench.json
	$(GO) run ./test/bench/moves -json out/moves.json
	$(GO) test -run '^$$' -bench . -benchtime 1x ./test/bench ./pkg/distribution ./pkg/admission
	$(GO) test -run '^$$' -bench . ./pkg/proxy ./pkg/routing

# Runs each fuzz target for a short time.
FUZZTIME ?= 10s
fuzz:
	@grep -rl '^func Fuzz' --include='*_test.go' pkg | while read -r file; do \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' "$$file"); do \
			$(GO) test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) "./$$(dirname "$$file")" || exit 1; \
		done; \
	done
