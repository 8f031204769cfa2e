#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. These are plain Python of the
# standard library; the roles come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
