"""The instance daemon of fulmarward: every instance is alike and keeps nothing."""
