#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++17 -O1 -Wall -Wextra standin/Main.cpp -o bin/world
