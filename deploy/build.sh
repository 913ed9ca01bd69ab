#!/usr/bin/env bash
# Puts everything the daemon needs into target/deps, from a clean checkout.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ] ||
    ! [ "$deps/.installed" -nt constraints.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" -c constraints.txt -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for source in packages/fennelfork/src/fennelfork \
    packages/fennelfork-daemon/src/fennelfork_daemon \
    platform/fennelfork_platform; do
    # What is the same stays in place: daemons of another run may start from it.
    if ! diff -rq -x __pycache__ "$source" "$deps/$(basename "$source")" \
        >/dev/null 2>&1; then
        rm -rf "$deps/$(basename "$source")"
        cp -R "$source" "$deps/"
    fi
done
# The run may not write there, so everything is compiled now.
python3 -m compileall -q -o 2 "$deps" || true
