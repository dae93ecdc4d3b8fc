"""The platform's HTTP protocol.

`POST /tables` runs an atomic transaction: `conditions` lists rows with the version
that each must have (0: absent), `writes` sets new values (`null` deletes).
`GET /tables/TABLE/KEY` reads a row; `GET /tables/TABLE?prefix=P` lists rows.
`PUT` and `GET /objects/KEY` store and fetch bytes.
`GET /instances` lists live and leaving instances and targets, with a delay.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from fulmarward_standins._faults import SWITCHES, change_switches, inject_faults

#: Largest object accepted, in bytes.
MAX_OBJECT_BYTES = 16 * 1024 * 1024


@dataclass(kw_only=True)
class PlatformSpec:
    """Settings of a platform stand-in."""

    #: Display name.
    name: str = "platform"
    #: Delay of the instance list, in seconds.
    list_lag_s: float = 0.0
    #: Bearer token required from callers.
    token: str = "platform-token"


@dataclass(kw_only=True)
class _Store:
    rows: dict[tuple[str, str], tuple[int, Any]]
    objects: dict[str, bytes]
    members: dict[str, dict[str, Any]]
    published: dict[str, dict[str, Any]]
    reads: int = 0
    writes: int = 0


_SPEC: web.AppKey[PlatformSpec] = web.AppKey("spec", PlatformSpec)
_STORE: web.AppKey[_Store] = web.AppKey("store", _Store)


async def _transact(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.writes += 1
    body = await request.json()
    for condition in body.get("conditions", []):
        row = (condition["table"], condition["key"])
        version, value = store.rows.get(row, (0, None))
        if version != condition["version"]:
            found = {
                "table": row[0],
                "key": row[1],
                "version": version,
                "value": value,
            }
            return web.json_response({"conflict": found}, status=409)
    versions = []
    for write in body.get("writes", []):
        row = (write["table"], write["key"])
        version = store.rows.get(row, (0, None))[0] + 1
        if write["value"] is None:
            store.rows.pop(row, None)
        else:
            store.rows[row] = (version, write["value"])
        versions.append(version)
    return web.json_response({"versions": versions})


async def _read_row(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.reads += 1
    row = (request.match_info["table"], request.match_info["key"])
    if row not in store.rows:
        return web.json_response({"version": 0, "value": None})
    version, value = store.rows[row]
    return web.json_response({"version": version, "value": value})


async def _list_rows(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.reads += 1
    table, prefix = request.match_info["table"], request.query.get("prefix", "")
    rows = [
        {"key": key, "version": version, "value": value}
        for (its_table, key), (version, value) in sorted(store.rows.items())
        if its_table == table and key.startswith(prefix)
    ]
    return web.json_response({"rows": rows})


async def _put_object(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.writes += 1
    store.objects[request.match_info["key"]] = await request.read()
    return web.json_response({"stored": True})


async def _get_object(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.reads += 1
    body = store.objects.get(request.match_info["key"])
    if body is None:
        return web.json_response({"error": "absent"}, status=404)
    return web.Response(body=body, content_type="application/octet-stream")


async def _list_instances(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    store.reads += 1
    return web.json_response({"instances": list(store.published.values())})


async def _change_members(request: web.Request) -> web.Response:
    """Update the scheduler's members, which are published after `list_lag_s`.

    Each item is an object with `name`, `kind` (`instance` or `target`),
    `state` (`live`, `leaving` or `gone`), `data_centre`, and for instances
    `peer_address` and `caller_address`.
    """
    store, spec = request.app[_STORE], request.app[_SPEC]
    for member in (await request.json())["instances"]:
        if member["state"] == "gone":
            store.members.pop(member["name"], None)
        else:
            store.members[member["name"]] = member
    members = dict(store.members)

    def publish() -> None:
        store.published = members

    if spec.list_lag_s:
        asyncio.get_running_loop().call_later(spec.list_lag_s, publish)
    else:
        publish()
    return web.json_response({"members": len(members)})


async def _show_counts(request: web.Request) -> web.Response:
    store = request.app[_STORE]
    return web.json_response({"reads": store.reads, "writes": store.writes})


@web.middleware
async def _check_token(request: web.Request, handler: Any) -> web.StreamResponse:  # noqa: ANN401
    token = request.app[_SPEC].token
    is_open = request.path.startswith("/control") or request.path == "/counts"
    if not is_open and request.headers.get("Authorization") != f"Bearer {token}":
        return web.json_response({"error": "unauthorized"}, status=401)
    return await handler(request)


def make_platform_app(spec: PlatformSpec) -> web.Application:
    """Return the platform's web application."""
    app = web.Application(
        middlewares=[inject_faults, _check_token], client_max_size=MAX_OBJECT_BYTES
    )
    app[_SPEC] = spec
    app[SWITCHES] = {}
    app[_STORE] = _Store(rows={}, objects={}, members={}, published={})
    app.add_routes(
        [
            web.post("/tables", _transact),
            web.get("/tables/{table}", _list_rows),
            web.get("/tables/{table}/{key:.+}", _read_row),
            web.put("/objects/{key}", _put_object),
            web.get("/objects/{key}", _get_object),
            web.get("/instances", _list_instances),
            web.post("/control", change_switches),
            web.post("/control/members", _change_members),
            web.get("/counts", _show_counts),
        ]
    )
    return app
