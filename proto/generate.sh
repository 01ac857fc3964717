#!/usr/bin/env bash
# Regenerates the committed Protobuf and gRPC sources; needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")"
protoc --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" node.proto
protoc --cpp_out=generated gossip.proto records.proto
