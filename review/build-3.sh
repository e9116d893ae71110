#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 13 start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/changes ./review/changes3
go build -o target/review-3/memory ./review/13/cmd
