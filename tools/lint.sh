#!/bin/sh
# Checks format and lint with the tools pinned in tools/go.mod. Generated code
# is left out.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOBIN="$bin" go install mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive)
unformatted=$("$bin/gofumpt" -l cmd core io acceptance platform)
if [ -n "$unformatted" ]; then
	echo "not formatted by gofumpt:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
"$bin/staticcheck" ./cmd/... ./core/... ./io/... ./acceptance/... ./platform/...
"$bin/revive" -config tools/revive.toml -set_exit_status ./cmd/... ./core/... ./io/... ./acceptance/... ./platform/...
echo "lint is clean"
