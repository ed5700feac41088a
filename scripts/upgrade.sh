#!/usr/bin/env bash
# Makes a working copy whose toucanhitch holds two builds from the repository's
# history, for trials of upgrades, of rollbacks and of fleets with two versions:
#
#   scripts/upgrade.sh OLD NEW DIR [restart|name]
#
# OLD and NEW are commits. DIR must not exist; it becomes a clone at NEW, with the
# packages of OLD below production/ as part of the same module. The binary chooses a
# build at each start of a process, and logs its choice:
#
#   restart  OLD at the first start of the whole system (FirstStart), else NEW (default)
#   name     OLD if the hash of the node's name is even, else NEW, also after restarts
#
# Without a settings file, as for the operators' commands, it is NEW. Both builds use the
# libraries of NEW's go.mod. The copy holds no tests of OLD.
set -euo pipefail
if [ $# -lt 3 ] || [ $# -gt 4 ]; then
  sed -n '2,/^set/{/^set/!p}' "$0" >&2
  exit 2
fi
repository=$(cd "$(dirname "$0")/.." && git rev-parse --show-toplevel)
old=$(git -C "$repository" rev-parse --verify --short "$1^{commit}")
new=$(git -C "$repository" rev-parse --verify --short "$2^{commit}")
dir=$3
case ${4:-restart} in
restart) choice='settings.FirstStart' ;;
name) choice='hashOf(settings.Node)%2 == 0' ;;
*)
  echo "unknown choice $4, want restart or name" >&2
  exit 2
  ;;
esac
if [ -e "$dir" ]; then
  echo "$dir exists" >&2
  exit 2
fi

git clone --quiet --no-checkout "$repository" "$dir"
cd "$dir"
git checkout --quiet -b "upgrade-$old-$new" "$new"
module=$(sed -n 's/^module //p' go.mod)
if ! git diff --quiet "$old" "$new" -- go.mod; then
  echo "note: go.mod of $old differs; $old is built with the libraries of $new" >&2
fi

mkdir production
git archive "$old" internal pkg platform | tar -x -C production
find production -name '*_test.go' -delete
find production -name '*.go' -exec sed -i "s|\"$module/|\"$module/production/|" {} +
mkdir production/entry
cat >production/entry/entry.go <<GO
// Package entry starts the build $old.
package entry

import (
	"context"
	"os"

	"$module/production/internal/commander"
)

// Main runs the build and returns the exit code of the process.
func Main() int {
	return commander.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)
}
GO
cat >cmd/toucanhitch/main.go <<GO
// Command toucanhitch runs one of the builds $old and $new.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"

	"$module/internal/commander"
	"$module/platform"
	"$module/production/entry"
)

func main() {
	if useOld() {
		os.Exit(entry.Main())
	}
	os.Exit(commander.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// useOld reports whether this process runs $old, and logs the build that it runs.
func useOld() bool {
	settings, err := platform.ReadSettings(os.Getenv("TOUCANHITCH_CONFIG"))
	if err != nil {
		return false
	}
	old, build := $choice, "$new"
	if old {
		build = "$old"
	}
	fmt.Printf("{\"Build\":%q,\"Node\":%q,\"level\":\"info\",\"msg\":\"chose build\"}\n", build, settings.Node)
	return old
}

func hashOf(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}
GO
gofmt -w cmd/toucanhitch/main.go
go build ./cmd/toucanhitch ./production/entry
git add --all
git -c user.name="toucanhitch maintainers" -c user.email=maintainers@users.noreply.toucanhitch.example \
  commit --quiet --message "Hold the builds $old and $new in one binary"
git log --oneline --max-count=1
