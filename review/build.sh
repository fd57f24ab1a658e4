#!/bin/sh
# The stand-ins are Python 3.11 scripts (standard library only) and need no build. The programs under
# test are those of the deploy file's own build.
set -e
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
