"""How a large row passes from instance to instance without filling their links."""

from fulmarward_core.spread._packing import pack_value, unpack_value
from fulmarward_core.spread._question import GivenUp, OpenQuestion
from fulmarward_core.spread._tellings import Tellings

__all__ = ["GivenUp", "OpenQuestion", "Tellings", "pack_value", "unpack_value"]
