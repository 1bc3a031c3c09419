#!/bin/sh
# Generates the committed codec modules from the .proto file; needs the
# "generate" extra.  Run it after a change to aspenfold.proto.
set -eu
cd "$(dirname "$0")/../src"
python -m grpc_tools.protoc -I. \
    --python_out=. --pyi_out=. --grpclib_python_out=. \
    aspenfold/_internal/rpc/aspenfold.proto
