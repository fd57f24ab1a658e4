#!/usr/bin/env bash
# Runs the test programs, as many at once as half of the processors, prints their output in order, and the
# totals in the last line. Many programs measure time or run a fleet of processes: all at once they delay
# each other by more than the bounds that they check. The programs test_crowd_* fill a process as far as it
# lets them: they run last, one at a time.
# Failures of tests listed in KNOWN-RED.txt are printed but do not fail the run. Each line there reads
# "program:test | cause | issue".
set -u
build=${1:-build}
at_once=$(( ($(nproc) + 1) / 2 ))
red=KNOWN-RED.txt
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
programs=()
for program in "$build"/test_*; do
    [[ -x $program && -f $program ]] && programs+=("$program")
done
run() {
    local name
    name=$(basename "$1")
    CK_FORK=yes "$1" >"$out/$name" 2>&1
    echo $? >"$out/$name.status"
}
is_crowd() { [[ $(basename "$1") == test_crowd_* ]]; }
for program in "${programs[@]}"; do
    is_crowd "$program" && continue
    while (( $(jobs -rp | wc -l) >= at_once )); do wait -n; done
    run "$program" &
done
wait
for program in "${programs[@]}"; do
    if is_crowd "$program"; then run "$program"; fi
done
passed=0 failed=0
# Prints the number of a program's failures that are listed. A failure reads
# file:line:F:case:test:... or file:line:E:case:test:...
known_in() {
    local name=$1 count=0 test
    [[ -s $red ]] || { echo 0; return; }
    while read -r test; do
        if grep -q "^$name:$test[[:space:]]*|" "$red"; then
            echo "known red: $name:$test" >>"$out/known"
            count=$((count + 1))
        fi
    done < <(sed -n 's/^[^:]*:[0-9]*:[FE]:[^:]*:\([^:]*\):.*/\1/p' "$out/$name")
    echo "$count"
}
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
    known=$(known_in "$name")
    failed=$((failed + failures + errors - known))
    passed=$((passed + checks - failures - errors))
done
# Repeats the failures at the end, so that a truncated output still names them.
for program in "${programs[@]}"; do
    name=$(basename "$program")
    grep -E '^[^ ]+:[0-9]+:[FE]:' "$out/$name" | sed "s/^/failed: $name: /"
done
if [[ -s $red ]]; then
    echo "listed in $red:"
    cat "$red"
    [[ -s $out/known ]] && cat "$out/known"
fi
echo "$passed passed, $failed failed"
[[ $failed -eq 0 && $passed -gt 0 ]]
