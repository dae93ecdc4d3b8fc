"""Starts a routing instance on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[1]
for _part in ("platform", "packages/router", "packages/instance", "packages/core"):
    sys.path.insert(0, str(_ROOT / _part))

from fulmarward_platform import run_on_platform  # noqa: E402

if __name__ == "__main__":
    sys.exit(asyncio.run(run_on_platform(os.environ)))
