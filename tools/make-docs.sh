#!/usr/bin/env bash
# Generates pages from the code. With --check: fails if they are out of date, or if a table in any
# page has rows of unequal length.
set -eu
build=${1:-build}
check=${2:-}

check_tables() {
    git ls-files '*.md' | xargs awk -F '|' '
        FNR == 1 || !/^[|]/ { columns = 0 }
        /^[|]/ {
            if (columns && NF != columns) {
                print FILENAME ":" FNR ": a table row with " NF - 2 " columns, not " columns - 2
                bad = 1
            }
            columns = NF
        }
        END { exit bad }'
}

events=$(mktemp) settings=$(mktemp)
trap 'rm -f "$events" "$settings"' EXIT
{
    echo "# Log events"
    echo
    echo "Made by \`make docs\` from lib/base/wg_events.h. A line in the log reads:"
    echo "time, level letter, WG and the number, name, text, details."
    echo
    echo "| number | name | level | text |"
    echo "|---|---|---|---|"
    sed -n 's/^ *X(\([0-9]*\), \([A-Z_]*\), \([A-Z]*\), "\(.*\)").*/| WG\1 | \2 | \3 | \4 |/p' lib/base/wg_events.h
} >"$events"
{
    echo "# Settings"
    echo
    echo "Made by \`make docs\` from the programs' own lists (\`--list-settings\`). An unknown key, a bad"
    echo "value or a missing file is an error that names file, group and key; nothing is started then"
    echo "(exit status 2). \`--check-settings\` only checks, \`--print-settings\` prints what is in force."
    for program in routerd controld entryd; do
        echo
        echo "## walnutgate-$program"
        echo
        "$build/walnutgate-$program" --list-settings
    done
} >"$settings"
if [[ $check == --check ]]; then
    diff -u docs/EVENTS.md "$events" && diff -u docs/SETTINGS.md "$settings" && check_tables &&
        echo "docs: up to date"
else
    cp "$events" docs/EVENTS.md
    cp "$settings" docs/SETTINGS.md
fi
