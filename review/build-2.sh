#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 to target/review-2/bed. The controllers are built by the
# build command of deploy/service.toml. No module has to be fetched.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off go build -buildvcs=false -o ../../target/review-2/bed .
