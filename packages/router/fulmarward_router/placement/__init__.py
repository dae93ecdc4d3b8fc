"""Giving layers to engines, by one instance at a time."""

from fulmarward_router.placement._lease import LeaseKeeper
from fulmarward_router.placement._placer import Placer

__all__ = ["LeaseKeeper", "Placer"]
