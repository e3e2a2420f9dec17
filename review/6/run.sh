#!/usr/bin/env bash
# Case 6: an accepted job of which its owner never learns. Exit status: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/roadcleat ] && [ -x target/review-2/bed ] || { echo "build first: deploy/service.toml, review/build-2.sh"; exit 2; }
exec target/review-2/bed -case unlearned -v -record review/6/record.txt
