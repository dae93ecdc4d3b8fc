"""The task that reloads changed secrets while the instance runs."""

import asyncio
import logging
from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward.settings import Secrets, load_secrets
from fulmarward_core.checks import Fault, describe_faults

#: Seconds between two reads of the files, which are only a few lines long.
POLL_INTERVAL_S = 2.0


def apply_secrets(instance: Instance, secrets: Secrets) -> None:
    """Activate changed secrets; their values are never logged.

    Open links stay open, although they were authenticated with earlier secrets. New
    links are authenticated with the first peer secret and accepted with any of them,
    so that a secret is rotated in three steps without an interruption: add the new one
    last, move it to the front everywhere, remove the old one.
    """
    instance.secrets = secrets
    instance.platform = replace(instance.platform, token=secrets.platform_token)
    log_event(
        "secrets_changed",
        operator_tokens=len(secrets.operator_tokens),
        peer_secrets=len(secrets.peer_secrets),
    )


async def watch_secrets(instance: Instance) -> None:
    """Poll the secret files, and activate their content when it changes.

    If a file is partly written or invalid, the current secrets stay active and the
    fault is logged once.
    """
    reported: tuple[Fault, ...] = ()
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        loaded = load_secrets(instance.settings)
        if not isinstance(loaded, tuple):
            reported = ()
            if loaded != instance.secrets:
                apply_secrets(instance, loaded)
        elif loaded != reported:
            reported = loaded
            faults = describe_faults(loaded)
            log_event("secrets_refused", level=logging.WARNING, faults=faults)
