#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review cases 6 to 10 start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/casekit
