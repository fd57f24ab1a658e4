#!/usr/bin/env bash
# Runs the performance benchmarks. Prints one line for each result: name, value, unit. Not run in CI.
set -eu
build=${1:-build}
"$build/bench_queue"
"$build/bench_router"
"$build/bench_prefix"
"$build/bench_agree"
