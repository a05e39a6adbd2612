#!/bin/sh
# Builds the programs of the cases, target/build/review/N, with the stand-ins of
# the tests that they contain.  Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -f review/build.mk -j8 BUILD=target/build review
