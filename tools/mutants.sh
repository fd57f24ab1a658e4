#!/usr/bin/env bash
# Mutation tests: applies one mutant of tests/mutants.txt at a time to a scratch copy and checks that
# its test fails. Each mutant: name | file | sed expression | command that has to fail.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
soak="build/soak --seeds 6 --steps 30000"
caught=0 missed=0
while IFS='|' read -r name file expression command; do
    [[ -z $name || $name == \#* ]] && continue
    [[ -n ${1:-} && $name != *$1* ]] && continue
    rm -rf "$scratch/tree"
    mkdir "$scratch/tree"
    (cd "$top" && git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch/tree")
    cd "$scratch/tree"
    sed -i "$expression" "$file"
    if cmp -s "$file" "$top/$file"; then echo "$name: mutation does not apply"; missed=$((missed + 1)); continue; fi
    if ! (cmake -S . -B build -G Ninja >/dev/null && ninja -C build --quiet >build.out 2>&1); then
        echo "$name: does not build"; missed=$((missed + 1)); continue
    fi
    if eval "${command/SOAK/$soak}" >out 2>&1; then
        echo "$name: MISSED"; missed=$((missed + 1))
    else
        echo "$name: caught: $(grep -a -m1 -E 'invariant|:E:|:F:|FAILED|failed' out | sed 's|.*/||' | cut -c1-150)"; caught=$((caught + 1))
    fi
done <"$top/tests/mutants.txt"
echo "$caught caught, $missed missed"
[[ $missed -eq 0 ]]
