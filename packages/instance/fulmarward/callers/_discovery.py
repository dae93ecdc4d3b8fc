"""Discovery: the addresses that a caller should use."""

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._authenticate import authenticate_team
from fulmarward.keys import issue_prefix
from fulmarward_core.discovery import order_addresses
from fulmarward_core.membership import list_usable


def make_discovery_routes(instance: Instance) -> list[web.RouteDef]:
    """Return the routes of this module."""

    async def discover(request: web.Request) -> web.Response:
        team = authenticate_team(instance, request)
        addresses = order_addresses(
            list_usable(instance.members),
            data_centre=instance.settings.data_centre,
            generator=instance.generator,
        )
        scheme = "https" if instance.tls else "http"
        answer = {
            "addresses": [f"{scheme}://{address}" for address in addresses],
            "lifetime_ms": instance.settings.limits.discovery_ms,
            "epoch": instance.snapshot.head.epoch,
            "idempotency_key_prefix": issue_prefix(instance, team),
            "idempotency_key_ms": instance.settings.limits.key_ms,
        }
        return web.json_response(answer)

    return [web.get("/discovery", discover)]
