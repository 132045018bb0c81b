.PHONY: build test lint demo load bench capacity faults faults-long docs

build:
	@go build -o bin/yuccalanding ./cmd/yuccalanding

test:
	scripts/test

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck -checks all ./...

# make demo JSON=1 prints one JSON object.
demo: build
	@bin/yuccalanding demo $(if $(JSON),--json)

# MIX is the mix file of make load.
MIX ?= examples/load/mixed.ini

load: build
	@bin/yuccalanding load $(MIX) $(if $(JSON),--json)

# Seeded fault runs of the decisions, and fault scripts with real processes.
faults:
	go test -count=1 -run 'TestRunsWithTwoFaults|TestRegressionSeeds|TestCheckersDetectDisabledRules' ./internal/control
	go test -count=1 -run TestFaultScripts -v ./internal/processcell

faults-long:
	CONTROL_SEEDS=1000 go test -count=1 -timeout 30m -run 'TestRunsWithTwoFaults|TestRegressionSeeds|TestCheckersDetectDisabledRules' ./internal/control
	go test -count=1 -timeout 30m -run TestFaultScripts -v ./internal/processcell -args -long

# Runs every benchmark of the decision engine, about 4 minutes, and writes the
# table into docs/decisions.md.
bench:
	go test ./internal/benchmark -run '^TestTable$$' -v -count=1 -timeout 30m -args -full -document=$(CURDIR)/docs/decisions.md

# Measures the tables of docs/CAPACITY.md again, about 3 minutes.
capacity: build
	@bin/yuccalanding capacity docs/CAPACITY.md

# Regenerates the pages that are made from tables and from real output.
docs:
	go test -count=1 ./internal/event ./internal/alarm ./internal/command -update
