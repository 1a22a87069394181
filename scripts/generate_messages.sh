#!/usr/bin/env bash
# Regenerates the committed protobuf code; needs protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. messages/fleetnews.proto messages/peer.proto
