"""The routing instance: all instances are equal, stateless, and serve callers."""
