"""Pure functions for shares, queueing order and wait estimates."""
