#!/usr/bin/env bash
# The stand-ins of cases 6 and up need the standard library alone: there is nothing to
# build. Checks that Python has what they use, and that the deploy file's build is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, sys, tomllib; assert sys.version_info >= (3, 11)'
[ -d target/deps ] || { echo "run the build of the deploy file first" >&2; exit 1; }
