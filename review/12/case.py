"""A request with many prompt parts crashes each engine that begins to run it."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from review.lib3 import poison
from review.lib3.fleet import Record, run_case

FOLDER = Path(__file__).resolve().parent

#: Parts of the prompt, the last one of which belongs to the request itself.
PARTS = int(os.environ.get("PARTS", "41"))


def run(record: Record, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    return poison.run(record, has_trouble, PARTS)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
