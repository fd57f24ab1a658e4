#!/usr/bin/env bash
# Sample fleet on loopback addresses: 3 controls, 3 routers, 3 fake targets.
#   demo.sh run    start it, run all checks, stop it as planned
#   demo.sh up     start it and leave it running; `demo.sh down` stops it
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$top/build}
run=${DEMO_RUN:-$top/demo-run}
ctl=("$build/walnutgatectl" --controls 127.0.1.1:7201,127.0.1.2:7202,127.0.1.3:7203
    --key-file "$run/operator.key")

fail() { echo "demo: FAILED: $*" >&2; exit 1; }
say() { printf '\n== %s\n' "$*"; }

# Waits until a command succeeds, at most 20 s.
wait_for() {
    local what=$1
    shift
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    fail "$what"
}

start() {
    local name=$1
    shift
    "$@" >>"$run/$name.out" 2>&1 &
    echo $! >"$run/$name.pid"
}

# Stops a process with SIGTERM, waits for it, and checks that its log shows a planned stop.
stop() {
    local name=$1 pid
    pid=$(cat "$run/$name.pid")
    kill -TERM "$pid" 2>/dev/null || return 0
    for _ in $(seq 200); do
        if ! kill -0 "$pid" 2>/dev/null; then
            rm -f "$run/$name.pid"
            grep -q "WG1002" "$run/$name.log" 2>/dev/null || [[ $name == fake-* ]] ||
                fail "$name did not stop in the planned way"
            return 0
        fi
        sleep 0.1
    done
    fail "$name did not stop"
}

up() {
    rm -rf "$run"
    mkdir -p "$run"
    cp "$top"/samples/*.ini "$run"
    head -c 32 /dev/urandom | sha256sum | cut -c1-64 >"$run/fleet.key"
    head -c 32 /dev/urandom | sha256sum | cut -c1-64 >"$run/operator.key"
    cd "$run"
    start fake-engine-1 "$build/fake_engine" address=127.0.3.1:9001 slots=8 pace_us=5000
    start fake-engine-2 "$build/fake_engine" address=127.0.3.2:9002 slots=8 pace_us=5000
    start fake-service-1 "$build/fake_service" address=127.0.3.3:9003
    "$build/walnutgate-controld" --settings c1.ini --init
    for i in 1 2 3; do start c$i "$build/walnutgate-controld" --settings c$i.ini; done
    for i in 1 2 3; do start r$i "$build/walnutgate-routerd" --settings r$i.ini; done
    wait_for "three controls in the set" three_controls
    "${ctl[@]}" table put services "$top/samples/services.csv"
    "${ctl[@]}" table put targets "$top/samples/targets.csv"
    "${ctl[@]}" table put workspaces "$top/samples/workspaces.csv"
    for i in 1 2 3; do
        wait_for "router r$i ready" curl -sf "http://127.0.2.$i:730$i/readyz"
        wait_for "router r$i serving" lookup "$i"
    done
}

three_controls() {
    [[ $("${ctl[@]}" status | grep -c "replicas=3 ") == 3 ]]
}

lookup() {
    curl -sf -H "Authorization: Bearer demo-key-referees" \
        "http://127.0.2.$1:800$1/v1/app/confirmations/lookup?call=6W1AB"
}

down() {
    for name in r1 r2 r3 c1 c2 c3 fake-engine-1 fake-engine-2 fake-service-1; do
        [[ -f "$run/$name.pid" ]] && stop $name
    done
    return 0
}

version_at() {
    curl -sf "http://127.0.2.$1:730$1/metrics" | awk '$1 == "walnutgate_table_version" {print $2}'
}

edit_in_force() {
    for i in 1 2 3; do [[ $(version_at $i) -ge $1 ]] || return 1; done
}

# Loads all routers from all workspaces at once and prints the tokens that each got in 3 s, divided by
# its weight.
fairness() {
    local name i load=()
    "${ctl[@]}" fairness | grep logbook-assistant >"$run/before.txt" || true
    for name in $(cut -d, -f1 "$top/samples/workspaces.csv" | tail -n +2); do
        for i in 1 2 3; do
            curl -sf -Z --no-progress-meter --parallel-immediate -o /dev/null -H "Authorization: Bearer demo-key-$name" \
                -d '{"model":"logbook-assistant","max_tokens":100,"messages":[]}' \
                "http://127.0.2.$i:800$i/v1/chat/completions?n=[1-10]" &
            load+=($!)
        done
    done
    sleep 3.2
    "${ctl[@]}" fairness | grep logbook-assistant >"$run/after.txt"
    awk 'FILENAME ~ /before/ {before[$2] = $4; next}
         {printf "%-20s weight %4d  tokens %5d  over weight %5.2f\n", $2, $3, $4 - before[$2], ($4 - before[$2]) / $3}' \
        "$run/before.txt" "$run/after.txt"
    for i in "${load[@]}"; do wait "$i" || fail "a request of the load failed"; done
    [[ $(wc -l <"$run/after.txt") == 10 ]] || fail "not all workspaces were served"
}

run_all() {
    trap 'down >/dev/null 2>&1 || true' EXIT
    say "start: 3 controls, 3 routers, 3 fake targets"
    up
    "${ctl[@]}" status
    say "which entry hosts to use"
    curl -sf "http://127.0.2.1:8001/v1/entry?workspace=ham-dakar" | tee "$run/entry.json"
    grep -q '127.0.2' "$run/entry.json" || fail "no entry hosts"
    say "a streamed chat completion"
    curl -sfN -H "Authorization: Bearer demo-key-ham-dakar" \
        -d '{"model":"logbook-assistant","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"73"}]}' \
        http://127.0.2.1:8001/v1/chat/completions | tee "$run/stream.txt"
    grep -q 'data: \[DONE\]' "$run/stream.txt" || fail "the stream has no end marker"
    [[ $(grep -c '"t[1-5] "' "$run/stream.txt") == 5 ]] || fail "the stream is incomplete"
    say "an application lookup"
    lookup 2
    say "a call that must not be repeated, sent twice with one key through two routers"
    for i in 1 3; do
        curl -sf -X POST -H "Authorization: Bearer demo-key-referees" -H "Idempotency-Key: qsl-1" \
            -H "X-Request-Id: qsl-1" -d ok "http://127.0.2.$i:800$i/v1/app/confirmations/confirm"
        echo
    done
    curl -sf http://127.0.3.3:9003/fake/journal | tee "$run/journal.json"
    grep -q '"qsl-1":1' "$run/journal.json" || fail "the call did not run exactly once"
    say "an edit of the table, in force at every router"
    "${ctl[@]}" table set workspaces ham-thies weight=150 | tee "$run/edit.json"
    version=$(sed 's/.*"version":\([0-9]*\).*/\1/' "$run/edit.json")
    wait_for "the edit in force everywhere" edit_in_force "$version"
    for i in 1 2 3; do echo "r$i holds version $(version_at $i)"; done
    say "a wrong key, an unknown service"
    [[ $(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer nobody" \
        http://127.0.2.1:8001/v1/app/confirmations/x) == 401 ]] || fail "wrong key was not 401"
    [[ $(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer demo-key-referees" \
        http://127.0.2.1:8001/v1/app/nothing/x) == 404 ]] || fail "unknown service was not 404"
    echo "401 and 404, as expected"
    say "300 requests of 10 workspaces at once: service after 3 s"
    fairness
    say "state of a control"
    "${ctl[@]}" dump 127.0.1.1:7201 | head -40
    say "planned stop of everything"
    down
    trap - EXIT
    echo "demo: all checks passed"
}

case "${1:-run}" in
run) run_all ;;
up)
    up
    cat <<TXT
The fleet runs; logs and keys are in $run. Try:
  curl -H "Authorization: Bearer demo-key-ham-dakar" -N http://127.0.2.1:8001/v1/chat/completions \\
    -d '{"model":"logbook-assistant","stream":true,"max_tokens":5,"messages":[]}'
  curl -H "Authorization: Bearer demo-key-referees" http://127.0.2.2:8002/v1/app/confirmations/lookup
  curl http://127.0.2.1:8001/v1/entry?workspace=ham-dakar
  ${ctl[*]} table get workspaces --csv
  ${ctl[*]} status
Stop it with: make demo-down
TXT
    ;;
down) down ;;
*) echo "usage: demo.sh run|up|down" >&2; exit 2 ;;
esac
