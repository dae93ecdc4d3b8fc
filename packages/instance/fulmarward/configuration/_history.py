"""Reads the heads and declarations of earlier epochs."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.configuration._bodies import fetch_bodies, make_platform_source
from fulmarward.configuration._heads import (
    HEAD_KEY,
    HEAD_TABLE,
    HISTORY_TABLE,
    make_history_key,
    parse_head,
)
from fulmarward.platform import PlatformUnavailable, read_row
from fulmarward_core.configuration import Head
from fulmarward_core.declaration import join_declaration, parse_manifest
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Milliseconds after which an operator may retry.
RETRY_AFTER_MS = 2_000


def _make_outage_failure(detail: str) -> Failure:
    return make_failure(
        ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS
    )


async def read_epoch(instance: Instance, epoch: int) -> Head | Failure:
    """Return the head of `epoch`."""
    key = make_history_key(epoch)
    row = await read_row(instance.platform, HISTORY_TABLE, key)
    if isinstance(row, PlatformUnavailable):
        return _make_outage_failure(row.detail)
    if row.value is None:
        return make_failure(ResultCode.NOT_FOUND, f"No epoch {epoch} is kept.")
    return parse_head(row)


async def read_history(instance: Instance, count: int) -> tuple[Head, ...] | Failure:
    """Return the last `count` heads, oldest first."""
    row = await read_row(instance.platform, HEAD_TABLE, HEAD_KEY)
    if isinstance(row, PlatformUnavailable):
        return _make_outage_failure(row.detail)
    newest = parse_head(row).epoch
    epochs = range(max(1, newest - count + 1), newest + 1)
    heads = await asyncio.gather(*(read_epoch(instance, epoch) for epoch in epochs))
    for head in heads:
        if isinstance(head, Failure) and head.code is not ResultCode.NOT_FOUND:
            return head
    return tuple(head for head in heads if isinstance(head, Head))


def show_declaration(instance: Instance) -> dict[str, object] | None:
    """Return the active declaration as JSON, `None` before the first."""
    body = instance.bodies.get(instance.snapshot.head.content_hash)
    manifest = None if body is None else parse_manifest(body)
    return None if manifest is None else join_declaration(manifest, instance.bodies)


async def fetch_declaration(instance: Instance, head: Head) -> object | Failure:
    """Return the declaration of `head`."""
    sources = [make_platform_source(instance)]
    bodies = await fetch_bodies(instance.bodies, head.content_hash, sources)
    if bodies is None:
        return _make_outage_failure("The bodies could not be fetched.")
    manifest = parse_manifest(bodies[head.content_hash])
    value = join_declaration(manifest, bodies)
    if value is None:
        detail = f"The bodies of epoch {head.epoch} are damaged."
        return make_failure(ResultCode.NOT_FOUND, detail)
    return value
