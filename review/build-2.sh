#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2, after the build of
# the deploy file. Needs g++ and nlohmann-json3-dev, which the deploy file lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++17 -O1 -Wall -Wextra"
g++ $flags -c review/standin-2/Lab.cpp -o target/review-2/Lab.o
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" target/review-2/Lab.o -lpthread \
    -o "target/review-2/case-$number"
done
