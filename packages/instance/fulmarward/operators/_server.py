"""The operators' web application, used by `fulmarctl`."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._errors import make_failure_response
from fulmarward.configuration import (
    ApplyRequest,
    apply_declaration,
    fetch_declaration,
    read_epoch,
    read_history,
    show_declaration,
)
from fulmarward.health import change_drain
from fulmarward.observability import log_event
from fulmarward.placement import read_placement
from fulmarward.platform import bypass_circuit
from fulmarward_core.checks import (
    Field,
    describe_faults,
    parse_json,
    read_boolean,
    read_integer,
    read_optional,
    read_record,
    read_string,
)
from fulmarward_core.health import list_sources
from fulmarward_core.results import Failure, ResultCode, make_failure

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Maximum body size of an operator's request in bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024


#: Default and maximum number of epochs in a history response.
DEFAULT_HISTORY_LENGTH = 20
MAX_HISTORY_LENGTH = 200


class _QueryFault(Exception):
    """A query parameter is not a number within its bounds."""


def _read_number(
    request: web.Request, name: str, most: int, default: int | None = None
) -> int:
    text = request.query.get(name, "" if default is None else str(default))
    if not text.isdecimal() or len(text) > 12 or not 1 <= int(text) <= most:
        raise _QueryFault(f"{name}: expected 1 to {most}, found {text[:20]!r}")
    return int(text)


def _read_unchecked(value: object, where: str, faults: list) -> object:
    return value


_READ_APPLY = read_record(
    ApplyRequest,
    {
        "declaration": Field(read=_read_unchecked),
        "apply_id": Field(read=read_string(pattern=r"\S{8,64}", expected="an id")),
        "applied_by": Field(read=read_string(pattern=r".{1,64}", expected="a name")),
        "base_epoch": Field(
            read=read_optional(read_integer(least=0, most=10**12)), default=None
        ),
    },
)


@dataclass(frozen=True, kw_only=True)
class _DrainRequest:
    target: str
    drained: bool
    by: str


_READ_DRAIN = read_record(
    _DrainRequest,
    {
        "target": Field(read=read_string(pattern=r"\S{1,64}", expected="a name")),
        "drained": Field(read=read_boolean()),
        "by": Field(read=read_string(pattern=r".{1,64}", expected="a name")),
    },
)


def _has_token(instance: Instance, request: web.Request) -> bool:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return False
    return any(
        hmac.compare_digest(token.encode(), accepted.encode())
        for accepted in instance.secrets.operator_tokens
    )


def _show_members(instance: Instance) -> list[dict[str, object]]:
    return [
        {**asdict(member), "state": member.state.name.lower()}
        for _, member in sorted(instance.members.members.items())
    ]


def _show_targets(instance: Instance) -> list[dict[str, object]]:
    return [
        {
            "name": name,
            "address": view.target.address,
            "data_centre": view.target.data_centre,
            "kind": view.target.kind.value,
            "serves": view.target.serves,
            "layers": view.target.layers,
            "in_flight": view.in_flight,
            "running": view.report.running,
            "waiting": view.report.waiting,
            "leaving": view.leaving,
            "leaving_sources": [
                source.name.lower() for source in list_sources(instance.leaving, name)
            ],
            "held": asdict(view.held) if view.held else None,
        }
        for name, view in sorted(instance.views.items())
    ]


def make_operator_app(instance: Instance) -> web.Application:
    """Return the web application for operators."""

    @web.middleware
    async def check_token(request: web.Request, handler: Handler) -> web.StreamResponse:
        if not _has_token(instance, request):
            log_event("operator_refused", path=request.path, address=request.remote)
            return make_failure_response(make_failure(ResultCode.OPERATOR_KEY_WRONG))
        try:
            with bypass_circuit():
                return await handler(request)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
            return make_failure_response(make_failure(ResultCode.PATH_UNKNOWN))
        except _QueryFault as fault:
            failure = make_failure(ResultCode.BODY_MALFORMED, str(fault))
            return make_failure_response(failure)
        except web.HTTPRequestEntityTooLarge:
            return make_failure_response(make_failure(ResultCode.BODY_TOO_LARGE))

    async def show_status(request: web.Request) -> web.Response:
        head = instance.snapshot.head
        return web.json_response(
            {
                "name": instance.settings.name,
                "boot": instance.member.boot,
                "state": instance.lifecycle.state,
                "data_centre": instance.settings.data_centre,
                "head": asdict(head),
                "open_requests": len(instance.answers),
                "members": _show_members(instance),
            }
        )

    async def show_targets(request: web.Request) -> web.Response:
        return web.json_response({"targets": _show_targets(instance)})

    async def get_declaration(request: web.Request) -> web.Response:
        if "epoch" not in request.query:
            head, value = instance.snapshot.head, show_declaration(instance)
            return web.json_response({"head": asdict(head), "declaration": value})
        head = await read_epoch(instance, _read_number(request, "epoch", 10**12))
        if isinstance(head, Failure):
            return make_failure_response(head)
        value = await fetch_declaration(instance, head)
        if isinstance(value, Failure):
            return make_failure_response(value)
        return web.json_response({"head": asdict(head), "declaration": value})

    async def show_history(request: web.Request) -> web.Response:
        count = _read_number(
            request, "count", MAX_HISTORY_LENGTH, default=DEFAULT_HISTORY_LENGTH
        )
        heads = await read_history(instance, count)
        if isinstance(heads, Failure):
            return make_failure_response(heads)
        return web.json_response({"history": [asdict(head) for head in heads]})

    async def show_trace(request: web.Request) -> web.Response:
        lines = instance.traces.read_lines(request.match_info["request"])
        if not lines:
            return make_failure_response(make_failure(ResultCode.NOT_FOUND))
        return web.json_response({"lines": lines})

    async def drain(request: web.Request) -> web.Response:
        log_event("drain_requested", address=request.remote)
        instance.stop_requested.set()
        return web.json_response(
            {"name": instance.settings.name, "open_requests": len(instance.answers)}
        )

    async def apply(request: web.Request) -> web.Response:
        faults: list = []
        value = parse_json(await request.read(), "body", faults)
        wanted = None if faults else _READ_APPLY(value, "", faults)
        if faults:
            failure = make_failure(ResultCode.BODY_MALFORMED, describe_faults(faults))
            return make_failure_response(failure)
        outcome = await apply_declaration(instance, wanted)
        if isinstance(outcome, Failure):
            log_event(
                "apply_finished", apply_id=wanted.apply_id, result=outcome.code.value
            )
            return make_failure_response(outcome)
        log_event(
            "apply_finished",
            apply_id=wanted.apply_id,
            by=wanted.applied_by,
            epoch=outcome.head.epoch,
            unchanged=outcome.is_unchanged,
        )
        instance.note_epoch(outcome.head.epoch)
        return web.json_response(
            {"head": asdict(outcome.head), "unchanged": outcome.is_unchanged}
        )

    async def drain_target(request: web.Request) -> web.Response:
        faults: list = []
        value = parse_json(await request.read(), "body", faults)
        wanted = None if faults else _READ_DRAIN(value, "", faults)
        if faults:
            failure = make_failure(ResultCode.BODY_MALFORMED, describe_faults(faults))
            return make_failure_response(failure)
        outcome = await change_drain(
            instance, wanted.target, drained=wanted.drained, by=wanted.by
        )
        if isinstance(outcome, Failure):
            return make_failure_response(outcome)
        return web.json_response({"target": wanted.target, "drained": wanted.drained})

    async def show_placement(request: web.Request) -> web.Response:
        pools = await read_placement(instance)
        if isinstance(pools, Failure):
            return make_failure_response(pools)
        return web.json_response({"pools": pools})

    app = web.Application(middlewares=[check_token], client_max_size=MAX_BODY_BYTES)
    app.add_routes(
        [
            web.get("/status", show_status),
            web.get("/targets", show_targets),
            web.get("/declaration", get_declaration),
            web.get("/history", show_history),
            web.get("/trace/{request}", show_trace),
            web.post("/apply", apply),
            web.post("/drain", drain),
            web.get("/placement", show_placement),
            web.post("/drain-target", drain_target),
        ]
    )
    return app
