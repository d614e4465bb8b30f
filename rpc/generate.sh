#!/bin/sh
# Regenerates the Go code of the schema files. Needs protoc; the plug-ins come from tools/go.mod.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../tools && GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
for name in state operator vm target entry; do
	set -- --go_out=. --go_opt=module=kingcuprill/rpc
	if [ "$name" != state ]; then
		set -- "$@" --twirp_out=. --twirp_opt=module=kingcuprill/rpc
	fi
	PATH="$bin:$PATH" protoc -I . "$@" "$name/$name.proto"
done
