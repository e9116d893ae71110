#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
kit=../../target/review-3/changes
program=../../target/currantloom
if [ ! -x "$kit" ] || [ ! -x "$program" ]; then
	echo "build the deploy file's programs and run review/build-3.sh first"
	exit 2
fi
exec "$kit" unrecorded record.txt "$program"
