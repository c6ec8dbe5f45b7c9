#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network beyond what the build of the deploy file
# needs. Run it after that build, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/world2 ./review/world2
