#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: the state service, the cloud, the machines and the
# users, in one program. It needs nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
go build -o ../../target/review/standin .
