"""Starts a routing instance on the users' platform.

The statements before the imports shorten the time from a kill of the instance to its
first answer. Its callers retry once, and that retry has to find the instance serving.
"""

import signal

# The default action of a reload signal ends the process. It stays pending until the
# handlers are set.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

_ROOT = Path(__file__).resolve().parents[1]
for _folder in ("platform", "packages/router", "packages/instance", "packages/core"):
    sys.path.insert(0, str(_ROOT / _folder))

# No connection uses TLS here, but the HTTP library loads all certificate authorities of
# the machine when it is imported, which took 0.115 of 0.60 s of processor time.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull

gc.disable()
from fulmarward_platform import run_on_platform  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(asyncio.run(run_on_platform(os.environ)))
