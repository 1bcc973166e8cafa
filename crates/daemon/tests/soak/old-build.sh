#!/usr/bin/env bash
# Soak of an upgrade: nodes of an older commit and of this one side by side.
# Usage: old-build.sh COMMIT FOLDER FROM..TO
# FOLDER receives a work tree of the older commit with its own build.
set -euo pipefail
commit=$1 folder=$2 seeds=$3
cd "$(dirname "$0")/../../../.."
[ -d "$folder" ] || git worktree add --detach "$folder" "$commit"
(cd "$folder" && cargo build --locked -p heatherrun-daemon --bin heatherrund)
SOAK_OLD_BUILD="$(realpath "$folder")/target/debug/heatherrund" SOAK_SEEDS="$seeds" \
    cargo test --locked -p heatherrun-daemon --test soak -- --nocapture
