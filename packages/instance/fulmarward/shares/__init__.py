"""Splits each team's rate limit between instances according to demand."""

from fulmarward.shares._exchange import answer_demand
from fulmarward.shares._split import find_bucket, run_shares

__all__ = ["answer_demand", "find_bucket", "run_shares"]
