#!/usr/bin/env bash
# Regenerates the committed C++ code of the protobuf messages (protoc 3.21).
set -euo pipefail
cd "$(dirname "$0")/../modules/azurecross_cluster/messages"

version=$(protoc --version)
if [[ $version != "libprotoc 3.21."* ]]; then
  echo "protoc 3.21 is needed, found $version" >&2
  exit 1
fi
protoc --cpp_out=. peer.proto
