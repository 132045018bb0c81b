#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -ldflags=-linkmode=external -o target/review-3/ ./review/standin-3
