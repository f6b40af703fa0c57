#!/usr/bin/env bash
# Writes the Go types of package wire from the schemas. The result is committed.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=${1:-$root/wire}
cd "$root/tools"
for name in settings bundle messages; do
	GOWORK=off go tool go-jsonschema -p wire -t --tags json \
		--capitalization URL --capitalization ID --capitalization TLS --capitalization URLs \
		-o "$out/$name.go" "../schema/$name.schema.json"
done
GOWORK=off go tool gofumpt -w "$out"/settings.go "$out"/bundle.go "$out"/messages.go
