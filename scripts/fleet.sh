# Functions that start and stop a small fleet with stand-ins; sourced by ./demo and ./measure.

bin=${bin:-target/debug}
# First three octets of the fleet's addresses. They depend on the process id, so that runs at the same time
# rarely use the same ones.
net=127.$((1 + $$ % 250)).200
key=mjd_demo_alpha
pids=()
work=$(mktemp -d)

# Stops all processes and removes the temporary directory.
stop_processes() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_processes EXIT

# start COMMAND [ARGUMENTS]: runs a process in the background and sets $last to its id.
start() {
    "$@" >/dev/null 2>>"$work/log" &
    last=$!
    pids+=("$last")
}

# start_node NUMBER DATA_CENTRE: starts a node; the number, 0 to 2, determines its address.
start_node() {
    start "$bin/marjoramdyke-node" --fleet "$net.1$1:7000" --callers "$net.1$1:8000" \
        --local "$net.1$1:9000" --data-centre "$2" --platform "$net.2:7000" \
        --peer "$net.10:7000" --peer "$net.11:7000" --peer "$net.12:7000"
}

# start_target NODE NUMBER SERVICE [ARGUMENTS]: starts a target that announces itself to a node.
start_target() {
    local node=$1 number=$2 service=$3
    shift 3
    start "$bin/target" --id "$service-$number" --service "$service" \
        --listen "$net.1$node:$((10000 + number))" --control "$net.1$node:$((11000 + number))" \
        --node "$net.1$node:9000" "$@"
}

# digest KEY: prints the SHA-256 digest of a key in hexadecimal.
digest() {
    printf %s "$1" | sha256sum | cut -d' ' -f1
}

# write_config RATE BURST: writes a configuration with one organisation to $work/site.jsonc.
write_config() {
    cat >"$work/site.jsonc" <<JSON
{
  // Three data centres, as in a small site.
  "data_centres": [{ "name": "kochi" }, { "name": "thrissur" }, { "name": "kollam" }],
  "services": [
    { "name": "orders", "floor": 0.5, "timeout_ms": 4000 },
    { "name": "catalogue", "floor": 0.5, "timeout_ms": 4000 }
  ],
  "routes": [
    { "prefix": "/orders", "service": "orders" },
    { "prefix": "/catalogue", "service": "catalogue", "access": "open" }
  ],
  "organisations": [{ "name": "alpha", "rate": $1, "burst": $2 }],
  "keys": [{ "id": "alpha-1", "digest": "$(digest $key)", "organisation": "alpha" }]
}
JSON
}

# operate ARGUMENTS: runs the operator's command line.
operate() {
    "$bin/marjoramdyke" "$@"
}

# set_behaviour ADDRESS JSON: sets the behaviour of the target whose control endpoint has this address.
set_behaviour() {
    curl -sf -H 'content-type: application/json' -d "$2" "http://$1/control" >/dev/null
}

# await_state ADDRESS TEXT: waits up to 30 s until the state of a node contains a text.
await_state() {
    for _ in $(seq 300); do
        if curl -s "http://$1/state" 2>/dev/null | grep -q "$2"; then
            return 0
        fi
        sleep 0.1
    done
    echo "the state of $1 does not contain $2 after 30 s" >&2
    return 1
}

# start_fleet RATE BURST [TARGET ARGUMENTS]: starts the platform and three nodes, each with two targets of
# the service orders and one of the service catalogue, and waits until the fleet is ready.
start_fleet() {
    local rate=$1 burst=$2
    shift 2
    export MARJORAMDYKE_SECRET="a secret for a demonstration"
    export MARJORAMDYKE_PLATFORM="$net.2:7000"
    export MARJORAMDYKE_NODES="$net.10:7000,$net.11:7000,$net.12:7000"
    export DEMO_KEY=$key
    start "$bin/platform" --listen "$net.2:7000"
    nodes=()
    local centres=(kochi thrissur kollam)
    for i in 0 1 2; do
        start_node "$i" "${centres[$i]}"
        nodes[i]=$last
        start_target "$i" "$i" orders "$@"
        start_target "$i" "$((i + 3))" orders "$@"
        start_target "$i" "$((i + 6))" catalogue "$@"
    done
    write_config "$rate" "$burst"
    # The first configuration makes the VMs that have a row its roster.
    for _ in $(seq 100); do
        rows=$(curl -s -H 'content-type: application/json' -d '{"prefix":"vm/"}' \
            "http://$net.2:7000/table/scan" | grep -o '"vm/' | wc -l)
        [ "$rows" = 3 ] && break
        sleep 0.1
    done
    operate apply "$work/site.jsonc" --wait
    # Each of the three nodes has a third of the 192 slices.
    for i in 0 1 2; do
        await_state "$net.1$i:9000" '"keepers":192,"kept":64,"misplaced":0'
    done
}
