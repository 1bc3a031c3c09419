#!/bin/sh
# Builds what the scripts start beside the programs: the stand-ins need only
# Python's standard library, so that it is enough to compile them.
cd "$(dirname "$0")" || exit 1
python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
EOF
