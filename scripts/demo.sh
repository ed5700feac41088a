#!/usr/bin/env bash
# Starts a small fleet on loopback addresses with stand-ins for the external
# systems and shows a release note, a cold start, a booking that runs once, and
# the withdrawal of a key while a caller uses it. All processes that it starts are
# killed when it exits.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

step() { printf '\n== %s\n' "$*"; }
run() { # run NAME COMMAND...: starts a command in the background
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

step "building"
go build -o "$work/" ./cmd/toucanhitch ./cmd/standin
export PATH="$work:$PATH"
base=${DEMO_PORT:-21000}
platform=127.0.0.1:$base
export TOUCANHITCH_PLATFORM=$platform STANDIN_PLATFORM=$platform TOUCANHITCH_ACTOR=demo
export TOUCANHITCH_REGION=pl-north STANDIN_REGION=pl-north

step "starting the platform stand-in, three engines and a service"
run platform standin platform --listen "$platform" --latency 2ms --list-lag 500ms
for n in 1 2 3; do
  run "engine-$n" standin engine --name "engine-$n" --data-centre "dc-$n" --listen "127.0.0.1:$((base + 10 + n))" \
    --load-remote 2s --load-disk 800ms --interval 20ms --honours-fence
done
run service-1 standin service --name service-1 --service booking --data-centre dc-1 --listen "127.0.0.1:$((base + 20))"

step "starting three nodes"
for n in 1 2 3; do
  caller=127.0.0.1:$((base + 30 + n))
  peer=127.0.0.1:$((base + 40 + n))
  for _ in $(seq 50); do
    standin register --name "node-$n" --address "$caller" --peer-address "$peer" --data-centre "dc-$n" --region pl-north 2>/dev/null && break
    sleep 0.1
  done
  run "node-$n" toucanhitch node --name "node-$n" --data-centre "dc-$n" --caller-address "$caller" --peer-address "$peer"
done
any_node=127.0.0.1:$((base + 31))
for _ in $(seq 100); do
  [ "$(toucanhitch state | grep -c ' true ')" = 3 ] && break
  sleep 0.1
done
toucanhitch state

step "a release note adds a model, an adapter, a service and a workspace"
toucanhitch check docs/examples/first-note.json
toucanhitch apply docs/examples/first-note.json --follow 20s

step "a key for the workspace"
key=$(toucanhitch grant riders)
toucanhitch follow --for 20s
toucanhitch keys
key_id=$(toucanhitch keys | awk '/riders/ {print $1}')

step "a streamed request for an adapter whose model is loaded nowhere"
time STANDIN_KEY=$key standin caller --node "$any_node" --model spot-summary-hel --class assured

step "the same request, now that the model is loaded"
time STANDIN_KEY=$key standin caller --node "$any_node" --model spot-summary-hel

step "where the model is loaded"
toucanhitch state

step "a booking, and the same booking again through another node: it runs once"
for n in 1 2; do
  STANDIN_KEY=$key standin caller --direct --node "127.0.0.1:$((base + 30 + n))" --service booking --path /bookings \
    --body '{"Lesson":"first flight"}' --identity lesson-42
done

step "the key is withdrawn while a caller keeps using it on one connection"
STANDIN_KEY=$key standin caller --direct --node "$any_node" --model spot-summary-hel --max-tokens 3 --until-refused 20s &
caller_pid=$!
sleep 1
toucanhitch withdraw "$key_id" --follow 20s
wait "$caller_pid"

step "who changed what"
toucanhitch audit

step "a node shuts down: it completes its requests and exits with code 0"
leaving_pid=${pids[-1]}
kill -TERM "$leaving_pid"
if wait "$leaving_pid"; then echo "exit code 0"; else echo "exit code $?"; exit 1; fi
grep -o '"msg":"[^"]*"' "$work/node-3.log" | tail -3

step "done"
