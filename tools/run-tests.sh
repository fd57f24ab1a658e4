#!/usr/bin/env bash
# Run every test program; the last line counts the tests.
set -u
build=${1:-build}
passed=0 failed=0 crashed=()
for program in "$build"/test_*; do
    [[ -x $program && -f $program ]] || continue
    out=$(CK_FORK=yes "$program" 2>&1)
    status=$?
    echo "$out" | grep -v '^Running suite' || true
    counts=$(echo "$out" | sed -n 's/^[0-9]*%: Checks: \([0-9]*\), Failures: \([0-9]*\), Errors: \([0-9]*\).*/\1 \2 \3/p')
    if [[ -z $counts ]]; then
        crashed+=("$program (status $status)")
        failed=$((failed + 1))
        continue
    fi
    read -r checks failures errors <<<"$counts"
    failed=$((failed + failures + errors))
    passed=$((passed + checks - failures - errors))
done
for program in "${crashed[@]:-}"; do [[ -n $program ]] && echo "no result: $program"; done
echo "$passed passed, $failed failed"
[[ $failed -eq 0 && $passed -gt 0 ]]
