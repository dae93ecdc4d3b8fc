"""Stand-in for the platform: table service, object store, list of instances."""

from fulmarward_standins.platform._app import PlatformSpec, make_platform_app

__all__ = ["PlatformSpec", "make_platform_app"]
