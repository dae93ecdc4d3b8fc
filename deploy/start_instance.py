"""Starts a routing instance on the users' platform.

What is done here before the imports shortens the time from a kill to the first answer:
an instance's callers have one try more, and it takes that long to be there for it.
"""

import asyncio
import gc
import os
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[1]
for _part in ("platform", "packages/router", "packages/instance", "packages/core"):
    sys.path.insert(0, str(_ROOT / _part))

# Nothing is spoken in TLS here, and the HTTP library reads all certificate authorities
# of the machine when it is imported: 0.115 of 0.60 s of processor time.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull

gc.disable()
from fulmarward_platform import run_on_platform  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(asyncio.run(run_on_platform(os.environ)))
