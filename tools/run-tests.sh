#!/usr/bin/env bash
# Run every test program, all at once; print their output in order; the last line counts the tests.
set -u
build=${1:-build}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
programs=()
for program in "$build"/test_*; do
    [[ -x $program && -f $program ]] && programs+=("$program")
done
for program in "${programs[@]}"; do
    name=$(basename "$program")
    (CK_FORK=yes "$program" >"$out/$name" 2>&1; echo $? >"$out/$name.status") &
done
wait
passed=0 failed=0
for program in "${programs[@]}"; do
    name=$(basename "$program")
    grep -v '^Running suite' "$out/$name" | sed "s/^\([0-9]*%: Checks\)/$name: \1/"
    counts=$(sed -n 's/^[0-9]*%: Checks: \([0-9]*\), Failures: \([0-9]*\), Errors: \([0-9]*\).*/\1 \2 \3/p' "$out/$name")
    if [[ -z $counts ]]; then
        echo "no result: $name (status $(cat "$out/$name.status"))"
        failed=$((failed + 1))
        continue
    fi
    read -r checks failures errors <<<"$counts"
    failed=$((failed + failures + errors))
    passed=$((passed + checks - failures - errors))
done
echo "$passed passed, $failed failed"
[[ $failed -eq 0 && $passed -gt 0 ]]
