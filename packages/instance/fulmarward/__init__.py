"""The instance daemon of fulmarward: identical instances without persistent state."""
