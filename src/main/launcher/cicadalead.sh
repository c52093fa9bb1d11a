#!/bin/sh
# Replaces itself with the Java virtual machine; the archive follows this script in the same file.
exec java ${CICADALEAD_JAVA_OPTIONS:--XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError} -jar "$0" "$@"
