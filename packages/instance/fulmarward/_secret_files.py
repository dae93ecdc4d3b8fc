"""The task that takes in changed secrets while the instance runs."""

import asyncio
import logging
from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.settings import Secrets, load_secrets
from fulmarward_core.checks import Fault, describe_faults

#: Seconds between two looks at the files. They hold a few lines each.
LOOK_S = 2.0


def take_secrets(instance: Instance, secrets: Secrets) -> None:
    """Put changed secrets in force; what they are is never logged.

    Links that stand were proved under the secrets of their time and go on. New ones
    are proved with the first peer secret and accepted with any, so that a secret is
    changed in three steps without a gap: add the new one last, put it first
    everywhere, take the old one away.
    """
    instance.secrets = secrets
    instance.platform = replace(instance.platform, token=secrets.platform_token)
    log_event(
        "secrets_changed",
        operator_tokens=len(secrets.operator_tokens),
        peer_secrets=len(secrets.peer_secrets),
    )


async def watch_secrets(instance: Instance) -> None:
    """Look at the files again and again.

    Guards against a file that is half written or wrong: the secrets in force stay,
    and the fault is logged once.
    """
    told: tuple[Fault, ...] = ()
    while True:
        await asyncio.sleep(LOOK_S)
        loaded = load_secrets(instance.settings)
        if not isinstance(loaded, tuple):
            told = ()
            if loaded != instance.secrets:
                take_secrets(instance, loaded)
        elif loaded != told:
            told = loaded
            faults = describe_faults(loaded)
            log_event("secrets_refused", level=logging.WARNING, faults=faults)
