#!/bin/sh
# Builds the stand-ins and cases of the second review, after the build of the deploy file. They use the JSON library
# that the server's jar holds, and nothing else.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target/standin2
mkdir -p review/target/standin2
javac -Xlint:all,-classfile -d review/target/standin2 -cp server/target/wheatspread.jar review/standin2/*.java
