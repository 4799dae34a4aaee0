include .ci/tools.env

.PHONY: build test ci lint format fuzz capacity measure generate

build:
	CGO_ENABLED=1 go build -o samphirewharf .

test:
	go test ./...

ci:
	bash .ci/run

lint: .tools/golangci-lint
	.tools/golangci-lint run ./...

format:
	git ls-files '*.go' | grep -vE '\.(pb|twirp)\.go$$' | xargs go tool gofumpt -w

.tools/golangci-lint:
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

generate:
	go generate ./...

capacity:
	CGO_ENABLED=1 go run . capacity
measure: build
	./samphirewharf emulate birlik
	./samphirewharf emulate bellmouth
	go test -run TestChooseDoesNotHerd -v ./internal/decision/router
	go test -run TestPrefixAffinity -v ./internal/decision/router
	go test -run '^$$' -bench BenchmarkClaims -benchtime 1x ./internal/decision/claimer

# Runs random scenarios until interrupted and prints those that fail; SEED repeats a run.
fuzz:
	go test ./internal/decision/prover -v -run TestFuzz -timeout 0 -rapid.checks=1000000 -rapid.seed=$${SEED:-$$(date +%s)}
