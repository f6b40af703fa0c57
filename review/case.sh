#!/usr/bin/env bash
# Plays one case: case.sh NAME FOLDER. The stand-in (review/standin) plays the platform, the replicas and
# the callers; boxes are started here, with the command of deploy/system.toml, when it asks for them.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/havenrudder ] && [ -x target/review-standin ] || { echo "build target/havenrudder and run review/build.sh first"; exit 2; }
dir=$(mktemp -d) || exit 2
started=() # processes, by their ids

# ours says whether a process is there and was started here.
ours() { [ "$(cut -d ' ' -f 4 "/proc/$1/stat" 2>/dev/null)" = $$ ]; }

cleanup() {
	for pid in "${started[@]:-0}" "${standin:-0}"; do
		ours "$pid" && kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${started[@]:-0}"; do
		while ours "$pid"; do sleep 0.05; done
	done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

target/review-standin "$name" "$dir" "$folder/record.txt" "${TROUBLE:-1}" &
standin=$!
# The stand-in asks for a box with the file BOX.start, next to its settings in BOX.json.
for ((i = 0; i < 2300; i++)); do
	kill -0 "$standin" 2>/dev/null || break
	for ask in "$dir"/*.replica; do # a replica in a process of its own
		[ -e "$ask" ] || continue
		replica=${ask%.replica}
		rm -f "$ask"
		target/review-standin replica "$replica" &
		started+=($!)
		disown $! # so that the shell says nothing when it is killed
		echo "${started[-1]}" >"$replica.pid"
	done
	for ask in "$dir"/*.start; do
		[ -e "$ask" ] || continue
		box=${ask%.start}
		rm -f "$ask"
		HAVENRUDDER_CONFIG="$box.json" target/havenrudder box -metrics 9464 >>"$box.log" 2>&1 &
		started+=($!)
		disown $! # so that the shell says nothing when it is killed
		echo "${started[-1]}" >"$box.pid.new" && mv "$box.pid.new" "$box.pid"
	done
	sleep 0.05
done
kill -0 "$standin" 2>/dev/null && { echo "the case took too long"; exit 2; }
wait "$standin"
code=$?
exit $code
