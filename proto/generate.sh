#!/usr/bin/env bash
# Regenerates the committed code in proto/generated from the .proto files.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
