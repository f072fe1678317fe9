#!/bin/sh
# Builds the stand-ins and the programs of the cases. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -Xlint:all -d out standin/*.java [123]/*.java
