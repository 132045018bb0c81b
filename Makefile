.PHONY: build test lint demo load bench capacity faults faults-long docs

build:
	go build -o bin/yuccalanding ./cmd/yuccalanding

test:
	scripts/test

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck -checks all ./...

# make demo JSON=1 prints one JSON object.
demo: build
	@bin/yuccalanding demo $(if $(JSON),--json)

load: build
	@bin/yuccalanding load $(MIX) $(if $(JSON),--json)
# Runs every benchmark of the decision engine, about 5 minutes, and writes the
# table into docs/decisions.md.
bench:
	go test ./internal/benchmark -run '^TestTable$$' -v -count=1 -timeout 30m -args -full -document=$(CURDIR)/docs/decisions.md


# make capacity measures the tables of docs/CAPACITY.md again.
capacity: build
	@bin/yuccalanding capacity docs/CAPACITY.md
