#!/bin/sh
# Compiles the stand-ins and scenarios of the second review, with the libraries in the project's own jar. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/cicadalead-0.1.0-SNAPSHOT-all.jar review/second/*.java
