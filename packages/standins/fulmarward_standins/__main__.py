"""Command line of the stand-ins: `python -m fulmarward_standins SPEC.json`.

The file holds a list of stand-ins to run in this process. Each is an object with
`kind` (`platform`, `engine` or `service`), `address`, `name` and the settings of
its kind.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path

import fire
from aiohttp import web

from fulmarward_standins.engine import EngineSpec, make_engine_app
from fulmarward_standins.platform import PlatformSpec, make_platform_app
from fulmarward_standins.service import ServiceSpec, make_service_app

_MAKERS = {
    "platform": (PlatformSpec, make_platform_app),
    "engine": (EngineSpec, make_engine_app),
    "service": (ServiceSpec, make_service_app),
}


async def _serve(specs: list[dict]) -> None:
    runners = []
    for members in specs:
        kind, address = members.pop("kind"), members.pop("address")
        make_spec, make_app = _MAKERS[kind]
        runner = web.AppRunner(make_app(make_spec(**members)), access_log=None)
        await runner.setup()
        host, port = address.rsplit(":", 1)
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        runners.append(runner)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    for runner in runners:
        await runner.cleanup()


def run(spec: str) -> None:
    """Run the stand-ins listed in the JSON file `spec` until SIGTERM or SIGINT."""
    asyncio.run(_serve(json.loads(Path(spec).read_text())))


if __name__ == "__main__":
    fire.Fire(run, command=sys.argv[1:])
