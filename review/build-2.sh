#!/bin/sh
# Builds the stand-in that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
