#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. The nodes come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -tags review -o target/review-2/standin-2 ./review/standin-2
