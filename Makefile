.PHONY: build test lint bench

build:
	go build -o bin/yuccalanding ./cmd/yuccalanding

test:
	go test ./...

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck -checks all ./...

# Runs every benchmark of the decision engine, about 5 minutes, and writes the
# table into docs/decisions.md.
bench:
	go test ./internal/benchmark -run '^TestTable$$' -v -count=1 -timeout 30m -args -full -document=$(CURDIR)/docs/decisions.md
