"""Assignment of keys to instances by rendezvous hashing."""

from fulmarward_core.rendezvous.decisions import choose_first, is_among_first

__all__ = ["choose_first", "is_among_first"]
