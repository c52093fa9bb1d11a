#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -d target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx512m -cp target/review-2:target/cicadalead-0.1.0-SNAPSHOT-all.jar review.second.Scenario other-kind "$folder"
