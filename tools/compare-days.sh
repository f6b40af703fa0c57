#!/usr/bin/env bash
# Plays the same days and seeds of the users' bench with two commits and prints what
# differs: worth by day, and its parts, classes and prices over all plays, each paired,
# with the standard error of the mean difference.
#
#   tools/compare-days.sh [--jobs N] [--out DIR] [--days A,B] [--seeds 1,2] BENCH SITE BEFORE AFTER
#
# BEFORE and AFTER are commits; each is checked out into DIR (a new folder in /tmp where
# it is left out), where the bench's texts stay and journal entries are written: copy
# these into journal/. N plays run at once (4), without processor time, so that a play
# mostly repeats. Ends with 1 where a day broke a rule or was not played.
set -euo pipefail

usage() {
	sed -n '2,13s/^# \{0,1\}//p' "$0" >&2
	exit 2
}

jobs=4 out='' days=trouble-1,scale-1,trouble-2,scale-2,trouble-3 seeds=101,102,103
while [[ "${1:-}" == --* ]]; do
	[[ $# -ge 2 ]] || usage
	case $1 in
	--jobs) jobs=$2 ;;
	--out) out=$2 ;;
	--days) days=$2 ;;
	--seeds) seeds=$2 ;;
	*) usage ;;
	esac
	shift 2
done
[[ $# -eq 4 && $jobs =~ ^[1-9][0-9]*$ && $seeds =~ ^[0-9]+(,[0-9]+)*$ ]] || usage
bench=$(realpath "$1") site=$(realpath "$2") before=$3 after=$4
out=${out:-$(mktemp -d)}
mkdir -p "$out"

root=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
for side in before after; do
	[[ -d $out/$side/source ]] && continue
	mkdir -p "$out/$side"
	git clone -q "$root" "$out/$side/source"
	git -C "$out/$side/source" checkout -q "${!side}"
	(cd "$out/$side/source" && "$bench" build >/dev/null)
done

# play plays one day of one side, unless its text is there from an earlier call.
play() {
	local side=$1 day=$2 seed=$3 text
	text=$out/$side/$day-$seed.txt
	grep -q '^worth ' "$text" 2>/dev/null && return
	(cd "$out/$side/source" && "$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 1 \
		--why "paired: $side ($before to $after)" >"$text" 2>&1) || true
}
export -f play
export bench site out before after
for side in before after; do
	for day in ${days//,/ }; do
		for seed in ${seeds//,/ }; do
			printf '%s\0%s\0%s\0' "$side" "$day" "$seed"
		done
	done
done | xargs -0 -n 3 -P "$jobs" bash -c 'play "$@"' play

# figures prints "name value" lines of one play's text.
figures() {
	awk '
		/^worth / {
			print "worth", $2
			n = split($0, part, /[=,]/)
			for (i = 2; i <= n; i++) {
				if (match(part[i], /(whole day|worst windows|worst class|worst zone) [-0-9.]+/)) {
					text = substr(part[i], RSTART, RLENGTH)
					value = text
					sub(/.* /, "", value)
					sub(/ [-0-9.]+$/, "", text)
					gsub(/ /, "_", text)
					print text, value
				}
			}
			prices = 1
			next
		}
		prices && /^  -/ {
			value = $1
			gsub(/^-+/, "", value)
			name = $0
			sub(/^ +[^ ]+ +[^ ]+ /, "", name)
			gsub(/ /, "_", name)
			print "price:_" name, -value
			next
		}
		/^class / { classes = 1; next }
		classes && NF < 10 { classes = 0 }
		classes { print "class_" $1, $8 }
	' "$1"
}

rm -f "$out/wrong"
for day in ${days//,/ }; do
	for seed in ${seeds//,/ }; do
		for side in before after; do
			text=$out/$side/$day-$seed.txt
			if ! grep -q '^worth ' "$text"; then
				echo "$side $day $seed: not played" >&2
				touch "$out/wrong"
			fi
			if grep '^rules broken' "$text" >&2; then
				echo "$side $day $seed" >&2
				touch "$out/wrong"
			fi
		done
		join <(figures "$out/before/$day-$seed.txt" | sort) <(figures "$out/after/$day-$seed.txt" | sort) |
			sed "s/^/$day /"
	done
done | awk '
	function add(key, before, after) {
		if (!(key in n)) order[++keys] = key
		n[key]++
		b[key] += before
		a[key] += after
		d[key] += after - before
		q[key] += (after - before) ^ 2
	}
	{ add("all " $2, $3, $4) }
	$2 == "worth" { add("day " $1, $3, $4) }
	END {
		printf "%-58s %5s %9s %9s %9s %9s\n", "", "plays", "before", "after", "change", "std err"
		for (i = 1; i <= keys; i++) {
			k = order[i]
			m = d[k] / n[k]
			if (k !~ /^day|worth$/ && m < 0.0002 && m > -0.0002) continue
			e = n[k] > 1 ? sqrt((q[k] / n[k] - m * m) / (n[k] - 1)) : 0
			name = k
			gsub(/_/, " ", name)
			printf "%-58s %5d %9.4f %9.4f %+9.4f %9.4f\n", name, n[k], b[k] / n[k], a[k] / n[k], m, e
		}
	}
'
[[ ! -e $out/wrong ]]
