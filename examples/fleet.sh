#!/bin/sh
# Three gateways with a seat each, before the two toy engines: how they divide a budget of 20 statements at once.
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=
trap 'kill $pids 2>/dev/null; rm -rf "$dir"' EXIT INT TERM
echo "a key of an example, 16 bytes or more" > "$dir/key"
for port in 7101 7102; do
    target/release/examples/toy-engine 127.0.0.1:$port 100 & pids="$pids $!"
done
for n in 0 1 2; do
    cat > "$dir/$n.hcl" <<HCL
fleet {
  name     = "example"
  key_file = "$dir/key"
  listen   = "127.0.0.1:720$n"
  places   = 3
  place    = $n
  seats    = ["127.0.0.1:7200", "127.0.0.1:7201", "127.0.0.1:7202"]
  seat     = $n
  status   = "$dir/$n.json"
}
budget "all" {
  at_once       = "statements"
  whole         = 20
  floor_percent = 30
}
HCL
    EDGE_LISTEN=127.0.0.1:919$n EDGE_NAME=g-$n target/release/bramblewharf serve --config examples/gateway.json \
        --settings "$dir/$n.hcl" 2> "$dir/$n.log" & pids="$pids $!"
done
sleep 10
for n in 0 1 2; do
    echo "gateway $n"
    target/release/bramblewharf fleet budgets --settings "$dir/$n.hcl"
    target/release/bramblewharf fleet seats --settings "$dir/$n.hcl"
done
echo "members, as the keeper sees them"
for n in 0 1 2; do target/release/bramblewharf fleet members --settings "$dir/$n.hcl"; done
