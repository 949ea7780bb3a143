#!/bin/sh
#
# Builds the programs of the scripts in review/4 to review/8 into
# target/review-2, after the build of the deploy file.

set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
	name=$(basename "$source" .cpp)
	c++ -std=c++17 -O2 -Wall -Wextra -Ireview/standin-2 \
	    -o "target/review-2/$name" "$source" -ljansson -lpthread
done
