GO ?= go

.PHONY: build test lint fmt demo bench fuzz

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -timeout 15m ./...

lint:
	@unformatted="$$($(GO) tool gofumpt -l .)"; if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	$(GO) tool gofumpt -w .

# Starts a small deployment as processes and checks what must hold.
demo: build
	$(GO) run ./test/demo -bin bin

# Runs the measurements of docs/measurements.md.
bench:
	$(GO) run ./test/bench
