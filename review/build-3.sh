#!/bin/sh
# Builds what the scripts of cases 11 to 14 start. The entry hosts are built by the deploy
# file; the stand-ins are plain Python of the standard library and are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import sys; [compile(open(p).read(), p, "exec") for p in sys.argv[1:]]' \
    harness_3.py 1[1-4]/*.py
