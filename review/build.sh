#!/usr/bin/env bash
# Bundles the project's stand-ins, which the scripts of the cases start. Needs only what `npm ci` has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/lib/bundle_standins.mjs
