"""The routing instance: every instance is alike, keeps nothing and serves callers."""
