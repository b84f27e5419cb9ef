#!/usr/bin/env bash
# Tests with real processes that the leader of the usage duty may be paused for longer than its lease and continued, and that the
# usage of three requests is sealed and reported once. Takes about two minutes, so it is run by hand and not in CI.
# Usage: tests/e2e/processes.sh BUILD_FOLDER [BASE_PORT]
set -euo pipefail
program=$(realpath "$1")/basilbend
base=${2:-18081}
folder=$(mktemp -d)
cd "$folder"
pids=()
failures=0

cleanup() {
    # Processes are stopped in reverse order: a sidecar sends its usage to the entries, which write it to the store before they end.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -CONT "${pids[i]}" 2>/dev/null || true
        kill "${pids[i]}" 2>/dev/null || true
        wait "${pids[i]}" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap cleanup EXIT

check() { # description, expected text, actual text
    if [[ "$3" == *"$2"* ]]; then echo "ok: $1"; else echo "FAILED: $1: expected $2 in: $3"; failures=$((failures + 1)); fi
}

stand_in() { # name, file for its address
    "$program" stand-in "$1" --listen 127.0.0.1:0 >"$1.log" 2>&1 &
    pids+=($!)
}

address_of() { grep -o '127.0.0.1:[0-9]*' "$1.log" | head -1; }

entry() { # number, peer number
    cat >"entry-$1.yaml" <<YAML
role: entry
node: entry-$1
zone: zone-$1
region: region-1
callers: 127.0.0.1:$((base + $1))
processes: 127.0.0.1:$((base + 10 + $1))
platform: {store: "$(address_of key-value)", usage_reports: "$(address_of usage-reports)"}
operators: {credential_digest: $(sha256sum <credential | cut -d' ' -f1)}
peers: ["entry-$2,zone-$2,127.0.0.1:$((base + 10 + $2))"]
YAML
    "$program" entry --settings "entry-$1.yaml" >"entry-$1.log" 2>&1 &
    pids+=($!)
}

operate() { # entry number, command...
    local number=$1
    shift
    "$program" "$@" --entry "127.0.0.1:$((base + number))" --credential-file credential --output json
}

duty() { operate "$1" status | grep -o '"usage_duty":{[^}]*}'; }

printf 'operator' >credential
for name in key-value usage-reports engine; do stand_in "$name"; done
sleep 1
entry 1 2
first=${pids[-1]}
sleep 6
entry 2 1
"$program" sidecar --node sidecar-1 --endpoint "http://$(address_of engine)" --serves policy-lm \
    --entry "127.0.0.1:$((base + 11))" --entry "127.0.0.1:$((base + 12))" >sidecar.log 2>&1 &
pids+=($!)
sleep 4
operate 1 plans set gold >/dev/null
operate 1 access set gold --policy policy-lm >/dev/null
operate 1 workspaces set malda --plan gold >/dev/null
key=$(operate 1 key give malda | grep -o 'bb-[0-9a-f-]*k*[0-9a-f-]*' | head -1)
sleep 1
for _ in 1 2 3; do
    answer=$(curl -s "127.0.0.1:$((base + 2))/v1/completions" -H "Authorization: Bearer $key" -d '{"model":"policy-lm","prompt":"hello","max_tokens":8}')
    check "a request is answered" '"completion_tokens":8' "$answer"
done
check "entry-1 holds the duty" '"holder":"entry-1"' "$(duty 2)"
kill -STOP "$first"
sleep 16
check "the successor sends nothing while its predecessor is paused" '"in_charge":false' "$(duty 2)"
check "the predecessor is not confirmed as stopped" '"unconfirmed_predecessors":1' "$(duty 2)"
kill -CONT "$first"
sleep 9
check "the successor is in charge once its predecessor released" '"in_charge":true' "$(duty 2)"
check "the predecessor is not in charge any more" '"in_charge":false' "$(duty 1)"
sleep 100
reports=$(curl -s "$(address_of usage-reports)/stats")
check "no window was reported with different figures" '"contradicting":0' "$reports"
check "the usage of the three requests is reported" '"attempts":3,"cause":"normal","input_tokens":3,"late":false,"output_tokens":24' "$reports"
echo "$failures failed"
[ "$failures" -eq 0 ]
