#!/bin/sh
# Builds the drivers of the cases 11 to 15, with the stand-ins that they start, from the repository's root.
set -eu
cd "$(dirname "$0")/.."
for n in 11 12; do
	go build -o "target/review-$n" "./review/$n/cmd"
done
