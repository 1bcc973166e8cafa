#!/usr/bin/env bash
# Shows that each promise can fail: breaks the code on purpose, one promise at
# a time, in a scratch checkout, and runs a cell that must turn red.
set -euo pipefail
cd "$(dirname "$0")/../.."
root=$PWD
scratch=$(mktemp -d)
trap 'git -C "$root" worktree remove --force "$scratch/tree"; rm -rf "$scratch"' EXIT
git worktree add --quiet --detach "$scratch/tree" HEAD
cd "$scratch/tree"
export CARGO_TARGET_DIR=$scratch/target
cargo build --quiet --package heatherrun-matrix --example one_cell

red=0
green=0
while IFS= read -r row; do
    case $row in '#'*) continue ;; esac
    fields=()
    while [[ $row == *' ~ '* ]]; do
        fields+=("${row%% ~ *}")
        row=${row#* ~ }
    done
    fields+=("$row")
    promise=${fields[0]} file=${fields[1]} from=${fields[2]} to=${fields[3]}
    step=${fields[4]} fault=${fields[5]}
    text=$(<"$file")
    if [[ $text != *"$from"* ]]; then
        echo "$promise: the code to break is not in $file; correct crates/matrix/cases/breaks.txt"
        green=$((green + 1))
        continue
    fi
    printf '%s\n' "${text/"$from"/"$to"}" >"$file"
    seen=$(timeout 120 cargo run --quiet --package heatherrun-matrix --example one_cell -- "$step" "$fault" 2>/dev/null || true)
    git checkout --quiet -- "$file"
    if [[ $seen == *"promise: $promise,"* ]]; then
        echo "$promise: red at $step x $fault, as it must be"
        red=$((red + 1))
    else
        echo "$promise: NOT red at $step x $fault"
        green=$((green + 1))
    fi
done <crates/matrix/cases/breaks.txt
echo "$red of $((red + green)) breaks were seen"
[ "$green" -eq 0 ]
