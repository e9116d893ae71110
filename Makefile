GO ?= go
SEED ?= 1
STEPS ?= 200
CHECKS ?= 100
FUZZTIME ?= 30s
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: all build test race lint format fuzz fuzz-input bench measure

all: lint test

build:
	$(GO) build ./...

# Fixed seeds give the same verdict on each run.
test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

# All fuzz tests of the reducer. Prints the seed, the counts of faults, and a trace on failure.
fuzz:
	@echo "seed $(SEED), $(CHECKS) runs of $(STEPS) steps"
	$(GO) test ./loomcore -run 'Fuzz' -count=1 -rapid.seed=$(SEED) -rapid.steps=$(STEPS) -rapid.checks=$(CHECKS) \
		-rapid.nofailfile -v

# Arbitrary bytes from clients and from other nodes.
fuzz-input:
	$(GO) test ./loomentry -run '^$$' -fuzz FuzzSession -fuzztime $(FUZZTIME)
	$(GO) test ./loompeer -run '^$$' -fuzz FuzzLinkRequest -fuzztime $(FUZZTIME)

# One package at a time, so that they do not slow each other down.
bench:
	$(GO) test -p 1 ./cmd/currantloom ./loomcore -run '^$$' -bench . -benchtime 2s

measure:
	$(GO) run ./cmd/currantloom measure
