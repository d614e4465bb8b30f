#!/bin/sh
# Builds the stand-ins of the third review, all in one program, beside those of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3 ./review/third
