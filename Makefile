.PHONY: build test lint

build:
	go build -o bin/yuccalanding ./cmd/yuccalanding

test:
	go test ./...

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck -checks all ./...
