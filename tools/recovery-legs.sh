#!/usr/bin/env bash
# Durations of the phases of a recovery, from the first log line of a process to its first served
# request.
# usage: tools/recovery-legs.sh LOG [FROM]
# LOG: lines "SECONDS PROCESS DATE LEVEL EVENT NAME: text" of all processes of the fleet.
# FROM: seconds; earlier lines are ignored (default 0).
# Prints for each phase the number of processes that reached it and the minimum, median and maximum
# time since the start of the process, in milliseconds.
set -euo pipefail
log=${1:?usage: $0 LOG [FROM]}
from=${2:-0}
awk -v from="$from" '
    $1 + 0 < from || NF < 6 { next }
    $5 == "WG1001" { start[$2] = $1 + 0; next }
    function leg(name) {
        if (($2 in start) && !(($2 SUBSEP name SUBSEP start[$2]) in done)) {
            done[$2 SUBSEP name SUBSEP start[$2]] = 1
            printf "%s %.1f\n", name, ($1 - start[$2]) * 1000
        }
    }
    $5 == "WG3001" && /peer=/ { leg("2_first_link_of_a_replica") }
    $5 == "WG4001" && /role=leader/ { leg("3_leader") }
    $5 == "WG3001" && /leader term/ { leg("4_leader_known_to_host") }
    $5 == "WG5007" { leg("5_configuration_in_force") }
    $5 == "WG2015" { leg("6_first_target_told_what_it_holds") }
    $5 == "WG1009" { leg("7_first_request_served") }
' "$log" | sort -k1,1 -k2,2n | awk '
    $1 != name { if (name) show(); name = $1; n = 0 }
    { t[++n] = $2 }
    END { if (name) show() }
    function show() { printf "%-36s %4d  %8.1f %8.1f %8.1f\n", substr(name, 3), n, t[1], t[int((n + 1) / 2)], t[n] }
'
