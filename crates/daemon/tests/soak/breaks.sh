#!/usr/bin/env bash
# Mutation test of the soak: in a worktree of HEAD, applies one change at a time
# that breaks a promise, and checks that the soak test fails with that promise.
# FOLDER holds the worktree and its build.
set -euo pipefail
cd "$(git rev-parse --show-toplevel)"
folder="${1:?usage: breaks.sh FOLDER}"
git worktree add --force --detach "$folder/tree" HEAD >/dev/null
trap 'git worktree remove --force "$folder/tree"' EXIT
cd "$folder/tree"
export CARGO_TARGET_DIR="$folder/target" SOAK_SEEDS="${SOAK_SEEDS:-2..30}"

# Promise, file, and the sed command that breaks the promise.
breaks=(
    'twice|crates/routing/src/scatter/sending.rs|s/Repeat::Once => shard.executed == 0 .. in_flight == 0,/Repeat::Once => true,/'
    'refused|crates/gateway/src/serve/answer.rs|s/        if not_run {$/        if not_run || self.max_records.is_none() {/'
    'lost|crates/gateway/src/gateway.rs|s/let ended = self.callers.await;/self.callers.abort(); let ended = self.callers.await;/'
    'mixed|crates/routing/src/merge.rs|s/truncate(/truncate(1 + /'
    'config|crates/routing/src/listing.rs|s/into_iter().min()/into_iter().next()/'
    'drain|crates/routing/src/target.rs|s/\[&self.draining, &self.leaving, &self.gone\]/[\&self.leaving, \&self.gone]/'
)
missed=0
for entry in "${breaks[@]}"; do
    IFS='|' read -r promise file change <<<"$entry"
    sed -i "$change" "$file"
    if git diff --quiet; then
        echo "$promise: the change fits nothing in $file"
        missed=1
        continue
    fi
    if found=$(cargo test --locked -p heatherrun-daemon --test soak -- --nocapture 2>&1); then
        echo "$promise: NOT FOUND in seeds $SOAK_SEEDS"
        missed=1
    elif grep -q "^    \"$promise:" <<<"$found"; then
        grep -m1 "^    \"$promise:" <<<"$found" | sed "s/^ */$promise: found, /"
    else
        echo "$promise: another failure: $(grep -m1 -E '^error|^    "' <<<"$found")"
        missed=1
    fi
    git checkout --quiet "$file"
done
exit "$missed"
