#!/usr/bin/env bash
# The speed figures: one line each, name, value, unit. Not run in CI.
set -eu
build=${1:-build}
"$build/bench_queue"
"$build/bench_router"
"$build/bench_prefix"
"$build/bench_agree"
