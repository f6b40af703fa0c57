#!/usr/bin/env bash
# Draws the share of worth that requests earned over the seconds of a day, with two
# commits, from the texts that tools/compare-days.sh left.
#
#   tools/plot-windows.sh DIR DAY >FILE.svg
#
# DIR is compare-days.sh's folder, DAY a day it played; its seeds are averaged, each
# window of two seconds by the requests asked in it.
set -euo pipefail
[[ $# -eq 2 ]] || {
	sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
	exit 2
}
dir=$1 day=$2

# windows prints "second share" of all seeds of one side.
windows() {
	awk '
		/^from second/ { on = 1; next }
		NF < 8 { on = 0 }
		on { asked[$1] += $2; worth[$1] += $2 * $8 }
		END { for (s in asked) if (asked[s]) print s, worth[s] / asked[s] }
	' "$dir/$1/$day"-*.txt | sort -n
}

# line prints one side as a polyline; 12 units are a second, 200 the whole worth.
line() {
	printf '<polyline fill="none" stroke="%s" stroke-width="2" points="' "$2"
	windows "$1" | awk '{ printf "%.1f,%.1f ", 50 + 12 * ($1 + 1), 230 - 200 * $2 }'
	printf '"/>\n'
}

echo '<svg xmlns="http://www.w3.org/2000/svg" width="720" height="280" font-family="sans-serif" font-size="12">'
echo '<rect width="720" height="280" fill="white"/>'
echo "<text x=\"50\" y=\"18\">$day: worth earned by requests, by the second at which they were sent</text>"
for share in 0 25 50 75 100; do
	y=$((230 - 2 * share))
	echo "<line x1=\"50\" x2=\"690\" y1=\"$y\" y2=\"$y\" stroke=\"#ddd\"/><text x=\"10\" y=\"$((y + 4))\">0.$share</text>"
done | sed 's/0\.100/1.0/; s/>0\.0</>0</'
for second in 0 10 20 30 40 50; do
	echo "<text x=\"$((50 + 12 * second))\" y=\"248\">$second s</text>"
done
line before '#999'
line after '#c40'
echo '<text x="50" y="270" fill="#777">before</text><text x="110" y="270" fill="#c40">after</text>'
echo '</svg>'
