#!/bin/sh
# Builds the stand-ins that the scripts start: the store, the servers and the clients of harness/.
set -e
cd "$(dirname "$0")/harness"
mkdir -p ../bin
go build -buildvcs=false -o ../bin/harness .
