#!/bin/sh
# Compiles the stand-ins and the scenarios of the cases, with the libraries that the project's own jar holds. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/cicadalead-0.1.0-SNAPSHOT-all.jar review/*.java review/*/*.java
