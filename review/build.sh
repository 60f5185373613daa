#!/bin/sh
# Builds the stand-ins of all cases into target/review, with the compiler alone. The gateway comes from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != common ]; then
        rustc --edition 2021 -O -A warnings --crate-name "$name" -o "target/review/$name" "$source"
    fi
done
