"""Stand-in for the platform: tables, object store and instance list."""

from fulmarward_standins.platform._app import PlatformSpec, make_platform_app

__all__ = ["PlatformSpec", "make_platform_app"]
