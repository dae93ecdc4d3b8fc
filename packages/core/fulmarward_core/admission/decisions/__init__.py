"""Shares, order and estimates of admission; all pure."""
