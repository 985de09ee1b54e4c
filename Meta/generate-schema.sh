#!/usr/bin/env bash
# Generates the committed C++ sources from the Cap'n Proto schemas (needs the package capnproto).
set -euo pipefail
cd "$(dirname "$0")/../Schema"
capnp compile -oc++ ./*.capnp
