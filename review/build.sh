#!/usr/bin/env bash
# The stand-ins are Python: check that all that the scripts start can be loaded with the
# libraries that the build of the deploy file has placed under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review python3 -B -c 'import harness; print(harness.deploy_command())'
