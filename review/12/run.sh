#!/bin/sh
# Runs case 12, after the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out. The exit
# code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
for program in currantloom review-12; do
	[ -x "../../target/$program" ] || exit 2
done
exec ../../target/review-12 ../../target/currantloom record.txt
