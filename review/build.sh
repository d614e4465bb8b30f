#!/bin/sh
# Builds the stand-ins of review/ (runners, clients, operator, platform and links).
# The deploy file's build must have run before, as the scripts start its programs.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
