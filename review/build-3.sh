#!/usr/bin/env bash
# Builds the drivers of the cases 11 and 12, with the stand-ins that they start. Run it after the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/case11 ./review/11/casekit
go build -o target/review-3/case12 ./review/12/cmd
