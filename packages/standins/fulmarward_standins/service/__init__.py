"""Stand-in for a plain service with non-idempotent calls."""

from fulmarward_standins.service._app import ServiceSpec, make_service_app

__all__ = ["ServiceSpec", "make_service_app"]
