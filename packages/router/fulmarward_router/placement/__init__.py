"""Assigns model layers to engines; one instance at a time holds the lease for it."""

from fulmarward_router.placement._lease import LeaseKeeper
from fulmarward_router.placement._placer import Placer

__all__ = ["LeaseKeeper", "Placer"]
