#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standins
