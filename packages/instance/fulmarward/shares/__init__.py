"""Splits each team's rate limit between instances according to demand."""

from fulmarward.shares._split import find_bucket, run_shares
from fulmarward.shares._spread import answer_demand

__all__ = ["answer_demand", "find_bucket", "run_shares"]
