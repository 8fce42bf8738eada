#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules that need no compilation: checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do node --check "$module"; done
