"""Parses a declaration; one with any fault is rejected as a whole."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from fulmarward_core.checks import (
    Fault,
    Field,
    read_address,
    read_boolean,
    read_integer,
    read_list_of,
    read_map_of,
    read_number,
    read_one_of,
    read_optional,
    read_record,
    read_string,
)
from fulmarward_core.declaration._types import (
    DataCentre,
    Declaration,
    Link,
    Model,
    Pipeline,
    Service,
    ServiceCall,
    Target,
    TargetKind,
    Team,
    Urgency,
)

#: The sections of a declaration; each is hashed and sent separately.
SECTIONS = (
    "data_centres",
    "links",
    "teams",
    "models",
    "pipelines",
    "services",
    "targets",
)

_NAME = read_string(
    pattern=r"[a-z0-9][a-z0-9._-]{0,62}",
    expected="a name of lower-case letters, digits, '.', '_' and '-'",
)
_DIGEST = read_string(
    pattern=r"sha256:[0-9a-f]{64}", expected="sha256: and 64 hexadecimal digits"
)
_NAMES = read_list_of(_NAME)
_DEADLINE_MS = read_integer(least=1, most=86_400_000)


def _make_target(*, layers: tuple[int, ...], **members: object) -> Target:
    return Target(layers=(layers[0], layers[1]), **members)


_READ_DATA_CENTRE = read_record(DataCentre, {"region": Field(read=_NAME)})
_READ_LINK = read_record(
    Link,
    {
        "between": Field(read=read_list_of(_NAME, least=2, most=2)),
        "latency_ms": Field(read=read_number(least=0, most=10_000)),
        "mbit_per_s": Field(read=read_number(least=0.001, most=1e9)),
    },
)
_READ_TEAM = read_record(
    Team,
    {
        "key_digests": Field(read=read_list_of(_DIGEST, least=1, most=16)),
        "tokens_per_s": Field(read=read_number(least=0, most=1e9)),
        "burst_tokens": Field(read=read_number(least=0, most=1e9)),
        "pipelines": Field(read=_NAMES, default=()),
        "services": Field(read=_NAMES, default=()),
    },
)
_READ_MODEL = read_record(
    Model,
    {
        "layers": Field(read=read_integer(least=1, most=10_000)),
        "versions": Field(read=read_list_of(_NAME, least=1, most=64)),
        "serving": Field(read=_NAME),
        "adapters": Field(read=_NAMES, default=()),
    },
)
_READ_PIPELINE = read_record(
    Pipeline,
    {
        "model": Field(read=_NAME),
        "adapter": Field(read=read_optional(_NAME), default=None),
        "urgency": Field(
            read=read_one_of({item.name.lower(): item for item in Urgency}),
            default=Urgency.NORMAL,
        ),
        "deadline_ms": Field(read=_DEADLINE_MS),
        "idempotent": Field(read=read_boolean()),
        "max_output_tokens": Field(read=read_integer(least=1, most=1_000_000)),
    },
)
_READ_SERVICE_CALL = read_record(
    ServiceCall,
    {
        "method": Field(
            read=read_one_of(
                {name: name for name in ("GET", "PUT", "POST", "DELETE", "PATCH")}
            )
        ),
        "path": Field(read=read_string(pattern=r"/\S*", expected="a path from '/'")),
        "idempotent": Field(read=read_boolean()),
    },
)
_READ_SERVICE = read_record(
    Service,
    {
        "calls": Field(read=read_list_of(_READ_SERVICE_CALL), default=()),
        "deadline_ms": Field(read=_DEADLINE_MS),
    },
)
_READ_TARGET = read_record(
    _make_target,
    {
        "address": Field(read=read_address()),
        "data_centre": Field(read=_NAME),
        "kind": Field(read=read_one_of({item.value: item for item in TargetKind})),
        "serves": Field(read=_NAME),
        "accelerator": Field(read=read_string(), default=""),
        "layers": Field(
            read=read_list_of(read_integer(least=0, most=10_000), least=2, most=2),
            default=(0, 0),
        ),
        "slots": Field(read=read_integer(least=1, most=100_000)),
        "tokens_per_s": Field(read=read_number(least=0, most=1e9), default=0.0),
        "checks_fencing": Field(read=read_boolean(), default=False),
    },
)
_SECTION_FIELDS = {
    "data_centres": Field(read=read_map_of(_READ_DATA_CENTRE, name=_NAME)),
    "links": Field(read=read_list_of(_READ_LINK), default=()),
    "teams": Field(read=read_map_of(_READ_TEAM, name=_NAME)),
    "models": Field(read=read_map_of(_READ_MODEL, name=_NAME), default={}),
    "pipelines": Field(read=read_map_of(_READ_PIPELINE, name=_NAME), default={}),
    "services": Field(read=read_map_of(_READ_SERVICE, name=_NAME), default={}),
    "targets": Field(read=read_map_of(_READ_TARGET, name=_NAME)),
}
_READ_DECLARATION = read_record(Declaration, _SECTION_FIELDS)


def parse_declaration(value: object) -> Declaration | tuple[Fault, ...]:
    """Return the declaration parsed from the JSON `value`, or all of its faults."""
    faults: list[Fault] = []
    declaration = _READ_DECLARATION(value, "", faults)
    faults.extend(_find_broken_references(declaration or _read_leniently(value)))
    return tuple(faults) if faults else declaration


def _read_leniently(value: object) -> Declaration:
    """Return the valid entries of a faulty declaration, with `None` for faulty ones.

    Lets one attempt report all faults. Otherwise, an operator sees broken references
    only after correcting every other fault. References are checked in all valid
    entries; a reference to a faulty entry counts as resolved.
    """
    sections = value if isinstance(value, dict) else {}
    parsed = {
        name: field.read(sections.get(name), name, [])
        for name, field in _SECTION_FIELDS.items()
    }
    return Declaration(**{name: section or {} for name, section in parsed.items()})


def _list_valid(section: Mapping[str, Any]) -> list[tuple[str, Any]]:
    return [(name, entry) for name, entry in section.items() if entry is not None]


def _find_undeclared(
    names: Iterable[str], known: Iterable[str], where: str, kind: str
) -> Iterator[Fault]:
    for name in names:
        if name not in known:
            yield Fault(where=where, expected=f"a declared {kind}", found=name)


def _find_broken_references(declaration: Declaration) -> Iterator[Fault]:
    yield from _check_links(declaration)
    yield from _check_teams(declaration)
    yield from _check_models(declaration)
    yield from _check_pipelines(declaration)
    yield from _check_targets(declaration)


def _check_links(declaration: Declaration) -> Iterator[Fault]:
    for index, link in enumerate(declaration.links):
        if link is None:
            continue
        where = f"links[{index}].between"
        yield from _find_undeclared(
            link.between, declaration.data_centres, where, "data centre"
        )


def _check_teams(declaration: Declaration) -> Iterator[Fault]:
    teams_by_digest: dict[str, str] = {}
    for name, team in _list_valid(declaration.teams):
        where = f"teams.{name}"
        yield from _find_undeclared(
            team.pipelines, declaration.pipelines, f"{where}.pipelines", "pipeline"
        )
        yield from _find_undeclared(
            team.services, declaration.services, f"{where}.services", "service"
        )
        for digest in team.key_digests:
            first_team = teams_by_digest.setdefault(digest, name)
            if first_team != name:
                yield Fault(
                    where=f"{where}.key_digests",
                    expected="a key of this team alone",
                    found=f"a key of team {first_team}",
                )


def _check_models(declaration: Declaration) -> Iterator[Fault]:
    for name, model in _list_valid(declaration.models):
        yield from _find_undeclared(
            [model.serving], model.versions, f"models.{name}.serving", "version"
        )


def _check_pipelines(declaration: Declaration) -> Iterator[Fault]:
    for name, pipeline in _list_valid(declaration.pipelines):
        where = f"pipelines.{name}"
        yield from _find_undeclared(
            [pipeline.model], declaration.models, f"{where}.model", "model"
        )
        model = declaration.models.get(pipeline.model)
        if model is not None and pipeline.adapter is not None:
            yield from _find_undeclared(
                [pipeline.adapter], model.adapters, f"{where}.adapter", "adapter"
            )


def _check_targets(declaration: Declaration) -> Iterator[Fault]:
    for name, target in _list_valid(declaration.targets):
        where = f"targets.{name}"
        yield from _find_undeclared(
            [target.data_centre],
            declaration.data_centres,
            f"{where}.data_centre",
            "data centre",
        )
        if target.kind is TargetKind.SERVICE:
            yield from _find_undeclared(
                [target.serves], declaration.services, f"{where}.serves", "service"
            )
            continue
        yield from _find_undeclared(
            [target.serves], declaration.models, f"{where}.serves", "model"
        )
        yield from _check_layer_range(declaration, where, target)


def _check_layer_range(
    declaration: Declaration, where: str, target: Target
) -> Iterator[Fault]:
    model = declaration.models.get(target.serves)
    first, end = target.layers
    if model is not None and not 0 <= first < end <= model.layers:
        yield Fault(
            where=f"{where}.layers",
            expected=f"[first, end] with 0 <= first < end <= {model.layers}",
            found=f"[{first}, {end}]",
        )
