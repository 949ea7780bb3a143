#!/bin/sh
#
# Builds the stand-ins of the cases into target/review/.  Needs the build of
# the deploy file, and of its packages the compiler and jansson only.

set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3; do
	[ -f "review/$n/case.cpp" ] || continue
	c++ -std=c++17 -O1 -pthread -Wall -o "target/review/case$n" \
	    "review/$n/case.cpp" -ljansson
done
