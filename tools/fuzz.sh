#!/usr/bin/env bash
# Runs each fuzzer for SECONDS_EACH seconds (default 30); new cases are kept in tests/fuzz/cases.
set -eu
build=${1:-build-fuzz}
for program in "$build"/fuzz_*; do
    [[ -x $program && -f $program ]] || continue
    name=$(basename "$program")
    mkdir -p "tests/fuzz/cases/$name"
    echo "== $name"
    "$program" -max_total_time="${SECONDS_EACH:-30}" -max_len=8192 -print_final_stats=1 \
        "tests/fuzz/cases/$name" 2>&1 | grep -E 'stat::number_of_executed|ERROR|SUMMARY|Test unit' || true
done
