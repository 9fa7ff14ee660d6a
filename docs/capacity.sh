#!/usr/bin/env bash
# Reproduces every slope of docs/CAPACITY.md. Takes the build folder; some six
# minutes on a shared machine.
set -euo pipefail
build=${1:-build}
date -u
uptime
echo "== state of one entry"
"$build/ggd-bench-state" --repeat 3
echo "== an entry as a process"
"$build/ggd-bench-daemon" --repeat 2 --program "$build/greengagedrumd"
echo "== links between entries"
"$build/ggd-bench-peers" --seconds 4
echo "== decisions"
"$build/ggd-bench-core" --repeat 3 --decisions 5000 --most-in-flight 1000
uptime
