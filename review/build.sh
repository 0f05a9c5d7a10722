#!/bin/sh
# Builds the programs of the scripts, with their stand-ins, to review/bin/.
set -eu
cd "$(dirname "$0")/.."
for main in review/[1-5]/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -buildvcs=false -o "review/bin/case$case" "./review/$case"
done
