#!/usr/bin/env bash
# Plays days of one's own on the users' bench and prints one line a day.
#
#   tools/play-days.sh [--jobs N] [--out DIR] [--why TEXT] [--add N] [--vary] BENCH SITE DAY.toml...
#
# BENCH is the bench's program, SITE a site file. N days are played at once (1), each on
# one core. DIR keeps the bench's whole text (DAY.txt) and figures (DAY.json); left out,
# they go. --add N plays each with its seed plus N; --vary also varies times and figures,
# as the bench's hunt does. The last column says what was wrong: rules broken, what fell
# short of the gate, a fault of the day, processes that ended by themselves; "ok" if nothing
# was. Ends with 1 if something was wrong on any day.
set -euo pipefail

usage() {
	sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
	exit 2
}

jobs=1 out='' why='days of our own' add=0 vary=()
while [[ "${1:-}" == --* ]]; do
	if [[ $1 == --vary ]]; then
		vary=(--vary)
		shift
		continue
	fi
	[[ $# -ge 2 ]] || usage
	case $1 in
	--jobs) jobs=$2 ;;
	--out) out=$2 ;;
	--why) why=$2 ;;
	--add) add=$2 ;;
	*) usage ;;
	esac
	shift 2
done
[[ $# -ge 3 && $jobs =~ ^[1-9][0-9]*$ && $add =~ ^[0-9]+$ ]] || usage
bench=$1 site=$2
shift 2

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
keep=${out:-$scratch}
mkdir -p "$keep"

play() {
	local file=$1 name seed text figures worth served wrong='' found
	name=$(basename "$file" .toml)
	seed=$(sed -n 's/^seed *= *\([0-9]*\).*/\1/p' "$file" | head -n 1)
	seed=$((seed + add))
	text=$keep/$name.txt figures=$keep/$name.json
	rm -f "$figures"
	"$bench" run "$site" "$file" --seed "$seed" "${vary[@]}" --jobs 1 --report "$figures" \
		--why "$why: $name" >"$text" 2>&1 || true
	worth=$(sed -n 's/^  "G": \([-0-9.]*\),$/\1/p' "$figures" 2>/dev/null || true)
	served=$(sed -n 's/^  "served": \([0-9.]*\),$/\1/p' "$figures" 2>/dev/null || true)
	[[ -n $worth ]] || wrong=' not played;'
	found=$(sed -n 's/^rules broken: //p' "$text" | head -n 1)
	[[ -z $found ]] || wrong+=" rules: $found;"
	found=$(sed -n 's/^short of the gate: //p' "$text" | head -n 1)
	[[ -z $found ]] || wrong+=" gate: $found;"
	found=$(sed -n 's/^  "fault": "\(.*\)",\{0,1\}$/\1/p' "$figures" 2>/dev/null || true)
	[[ -z $found ]] || wrong+=" fault: $found;"
	found=$(sed -n 's/^  "exits_n": \([0-9]*\),\{0,1\}$/\1/p' "$figures" 2>/dev/null || true)
	[[ -z $found || $found == 0 ]] || wrong+=" exits: $found;"
	wrong=${wrong:- ok}
	printf '%-8s seed %-8s worth %-7s served %-6s%s\n' "$name" "$seed" "${worth:--}" "${served:--}" "${wrong%;}"
	[[ $wrong == ' ok' ]]
}

for file; do
	while (($(jobs -rp | wc -l) >= jobs)); do
		wait -n || true
	done
	{ play "$file" || touch "$scratch/bad"; } &
done
wait
[[ ! -e $scratch/bad ]]
