# The two commands of a newcomer are `make demo` and `make test`.
BIN := bin
export CGO_ENABLED := 1

.PHONY: all build demo test lint generate measure bench clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/kingcuprill-rig --daemon $(BIN)/kingcuprilld demo

test:
	go vet ./...
	go test -race -timeout 20m ./...

lint:
	sh tools/lint.sh

generate:
	sh rpc/generate.sh

measure: build
	$(BIN)/kingcuprill-rig --daemon $(BIN)/kingcuprilld measure

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf $(BIN)
