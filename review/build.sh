#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The service itself is built with the command of
# deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
