#!/bin/bash
# The stand-ins and the scripts are plain Python: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins.py ./*/case.py
