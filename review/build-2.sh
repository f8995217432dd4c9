#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python without dependencies, so that they
# are only compiled. The cases run the project's programs with the packages that the
# build of deploy/system.toml places under target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END'
import pathlib
import sys

for path in sorted(pathlib.Path("review").glob("stand_ins_2/*.py")):
    compile(path.read_text(), str(path), "exec")
for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    compile(path.read_text(), str(path), "exec")
if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of deploy/system.toml first")
END
