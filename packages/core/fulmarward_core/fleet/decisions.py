"""Decides whether a row of the targets' table describes a target that may be used.

Any writer may store rows. Whatever is made of a record later, such as a URL, a header
or a sum, relies on these checks.
"""

import re
from collections.abc import Callable, Mapping
from enum import Enum

from fulmarward_core.addresses import is_address
from fulmarward_core.fleet._types import (
    EngineModel,
    LayerRange,
    ServiceSpec,
    TargetRecord,
)

#: Maximum length of a text, in bytes.
MAX_TEXT_BYTES = 200

#: Maximum number of concurrent requests that a target may report.
MAX_SLOTS = 10**6

#: Maximum number of layers of a model.
MAX_LAYERS = 10**4

#: Upper bound on other integers: the largest one that any JSON writer stores exactly.
MAX_INTEGER = 2**53

#: Printable ASCII without spaces at its ends, as a header may hold it.
_NAME = re.compile(r"[!-~](?:[ -~]*[!-~])?")


class RowFault(Enum):
    """Why a row describes no target that may be used."""

    UNREADABLE = "unreadable"
    NAME = "name"
    SERVICE = "service"
    ADDRESS = "address"
    DATA_CENTRE = "data_centre"
    SOFTWARE = "software"
    SLOTS = "slots"
    STATE = "state"
    WARMUP = "warmup"
    HEARTBEATS = "heartbeats"
    STARTED = "started"
    KIND = "kind"
    LAYERS = "layers"
    #: Faults of a whole row that the configuration has no use for.
    UNNAMED_SERVICE = "unnamed_service"
    UNNAMED_KIND = "unnamed_kind"
    LAYERS_BEYOND_MODEL = "layers_beyond_model"


def judge_target(name: str, fields: Mapping[str, object]) -> TargetRecord | RowFault:
    """Return the target that a row describes, or why it describes none.

    `fields` holds a value of any type for each key of `_CHECKS`, `None` for one that
    the row lacks; `layers` is a pair of such values, or `None`.
    """
    if len(name) > MAX_TEXT_BYTES or not _NAME.fullmatch(name):
        return RowFault.NAME
    for field, (fault, is_valid) in _CHECKS.items():
        if not is_valid(fields[field]):
            return fault
    return TargetRecord(
        name=name,
        service=fields["service"],
        address=fields["address"],
        data_centre=fields["data_centre"],
        is_leaving=fields["is_leaving"],
        slots=fields["slots"],
        remaining_warmup_s=max(0.0, float(fields["warmup_ms"])) / 1000,
        started_ms=fields["started_ms"],
        kind=fields["kind"] or "",
        layers=read_layers(fields["layers"]),
    )


def find_misfit(
    record: TargetRecord, services: Mapping[str, ServiceSpec]
) -> RowFault | None:
    """Return why the configured services cannot use a target, `None` if they can."""
    if record.service not in services:
        return RowFault.UNNAMED_SERVICE
    engine = services[record.service].engine
    return None if engine is None else find_engine_misfit(record, engine)


def find_engine_misfit(record: TargetRecord, engine: EngineModel) -> RowFault | None:
    """Return why a target cannot run its part of a model, `None` if it can."""
    if record.kind not in engine.kinds:
        return RowFault.UNNAMED_KIND
    if record.layers is not None and record.layers.end > engine.layers:
        return RowFault.LAYERS_BEYOND_MODEL
    return None


def read_layers(value: tuple[object, object] | None) -> LayerRange | None:
    """Return the layers between a pair of bounds, `None` if these enclose none."""
    if value is None or not _is_optional_range(value):
        return None
    start, end = value
    return LayerRange(start=start, end=end) if start < end else None


def _is_text(value: object) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TEXT_BYTES
        and len(value.encode(errors="replace")) <= MAX_TEXT_BYTES
    )


def _is_optional_text(value: object) -> bool:
    return value is None or value == "" or _is_text(value)


def _is_bool(value: object) -> bool:
    return type(value) is bool


def _is_integer(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _is_slots(value: object) -> bool:
    return type(value) is int and 0 < value <= MAX_SLOTS


def _is_duration(value: object) -> bool:
    return type(value) in (int, float) and abs(value) <= MAX_INTEGER


def _is_layer_bound(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_LAYERS


def _is_optional_range(value: tuple[object, object] | None) -> bool:
    if value is None:
        return True
    start, end = value
    return _is_layer_bound(start) and _is_layer_bound(end) and start <= end


#: The fault of an invalid value and the check of a valid one, by field.
_CHECKS: Mapping[str, tuple[RowFault, Callable[[object], bool]]] = {
    "service": (RowFault.SERVICE, _is_text),
    "address": (RowFault.ADDRESS, is_address),
    "data_centre": (RowFault.DATA_CENTRE, _is_text),
    "software": (RowFault.SOFTWARE, _is_text),
    "slots": (RowFault.SLOTS, _is_slots),
    "is_leaving": (RowFault.STATE, _is_bool),
    "warmup_ms": (RowFault.WARMUP, _is_duration),
    "heartbeats": (RowFault.HEARTBEATS, _is_integer),
    "started_ms": (RowFault.STARTED, _is_integer),
    "kind": (RowFault.KIND, _is_optional_text),
    "layers": (RowFault.LAYERS, _is_optional_range),
}
