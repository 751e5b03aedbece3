#!/bin/sh
# Builds the stand-ins of the second review: plain Python files, which are compiled to
# show that they can be read. They use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().glob("lib2/*.py")) + [
    pathlib.Path(f"{number}/run.py") for number in range(6, 11)
    if pathlib.Path(f"{number}/run.py").exists()
]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
