#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up. The daemons are those of the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-standins2 ./review/standins2
