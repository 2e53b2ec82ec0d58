#!/bin/sh
# Builds the stand-ins and drivers that the cases 6 to 10 start. The dispatcher itself comes from the build of
# deploy/balancer.toml. It needs no network beyond what that build has used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/lab2 ./review/_lab2
