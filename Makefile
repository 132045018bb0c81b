.PHONY: build test lint demo load capacity

# MIX is the mix file of make load.
MIX ?= examples/load/mixed.ini

build:
	go build -o bin/yuccalanding ./cmd/yuccalanding

test:
	go test ./...

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck -checks all ./...

# make demo JSON=1 prints one JSON object.
demo: build
	@bin/yuccalanding demo $(if $(JSON),--json)

load: build
	@bin/yuccalanding load $(MIX) $(if $(JSON),--json)

# make capacity measures the tables of docs/CAPACITY.md again.
capacity: build
	@bin/yuccalanding capacity docs/CAPACITY.md
