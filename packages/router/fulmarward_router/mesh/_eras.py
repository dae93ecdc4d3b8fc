"""Messages for instances of releases that do not know eras of the store.

These take the store's own numbers for versions, and send them. Such a number is of era
0 here: once the store names an era, it confirms nothing and replaces nothing.
"""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from fulmarward_core.store_versions import find_number
from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationSnapshot,
    FetchTargets,
    FleetReport,
    Heartbeat,
    RowSnapshot,
    TargetChanges,
)


def remove_eras(message: object) -> object:
    """Return a message with the store's own numbers in place of versions."""
    remove = _REMOVERS.get(type(message))
    return message if remove is None else remove(message)


def _remove_from_heartbeat(message: Heartbeat) -> Heartbeat:
    return replace(message, targets_version=find_number(message.targets_version))


def _remove_from_report(message: FleetReport) -> FleetReport:
    return replace(message, heartbeat=_remove_from_heartbeat(message.heartbeat))


def _remove_from_versioned(
    message: RowSnapshot | CompressedConfiguration,
) -> RowSnapshot | CompressedConfiguration:
    return replace(message, version=find_number(message.version))


def _remove_from_snapshot(message: ConfigurationSnapshot) -> ConfigurationSnapshot:
    return replace(message, row=_remove_from_versioned(message.row))


def _remove_from_fetch(message: FetchTargets) -> FetchTargets:
    return replace(message, after=find_number(message.after))


def _remove_from_changes(message: TargetChanges) -> TargetChanges:
    return replace(
        message,
        after=find_number(message.after),
        version=find_number(message.version),
        rows=tuple(_remove_from_versioned(row) for row in message.rows),
    )


_REMOVERS: dict[type, Callable[[Any], object]] = {
    Heartbeat: _remove_from_heartbeat,
    FleetReport: _remove_from_report,
    CompressedConfiguration: _remove_from_versioned,
    ConfigurationSnapshot: _remove_from_snapshot,
    FetchTargets: _remove_from_fetch,
    TargetChanges: _remove_from_changes,
}
