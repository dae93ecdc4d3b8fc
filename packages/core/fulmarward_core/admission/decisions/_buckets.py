"""Token buckets for the sold shares, and how a share is split over instances.

Shares are counted in tokens of prompt and output together, because the sizes of
requests differ by a factor of a thousand.
"""

from collections.abc import Mapping

from fulmarward_core.admission._types import Bucket

#: Fraction of a share that is split evenly, regardless of demand. Without it, callers
#: that move to another instance would find none of their team's share there until the
#: other instances learn of the demand; a fifth covers those seconds.
EVEN_FRACTION = 0.2

#: Multiplier on an instance's part of the burst. With requests of thousands of tokens,
#: a team within its share could find its part too small for the next request at one
#: instance while it is unused at others. The rate holds whatever the depth; only the
#: bursts of all instances together may reach twice what was sold.
BURST_FACTOR = 2.0

#: Tokens that a bucket may be short of. Callers that retry exactly when they were told
#: must not be refused because of floating-point rounding. The value is far above the
#: accumulated rounding error and far below one token.
ROUNDING_TOLERANCE = 0.01


def compute_share_fraction(
    *, own: float, others: Mapping[str, float], members: int
) -> float:
    """Return the fraction of a team's share that this instance may use.

    `own` and `others` are the tokens per second requested at this instance and, by
    instance, at the others; `members` is the number of live instances. An instance
    whose demand is unknown counts with the mean, so that its part is not used twice.
    """
    if members <= 1:
        return 1.0
    known = 1 + len(others)
    total = own + sum(others.values())
    total += max(0, members - known) * total / known
    if total <= 0:
        return 1.0 / members
    return EVEN_FRACTION / members + (1 - EVEN_FRACTION) * (own / total)


def compute_bucket_depth(burst_tokens: float, part: float) -> float:
    """Return the bucket depth at an instance that has `part` of the share."""
    return burst_tokens * min(1.0, BURST_FACTOR * part)


def make_bucket(*, rate: float, depth: float, now: float) -> Bucket:
    """Return a full bucket."""
    return Bucket(rate=rate, depth=depth, level=depth, updated_at=now)


def resize_bucket(bucket: Bucket, *, rate: float, depth: float, now: float) -> None:
    """Change the rate and depth of a bucket; its level is capped at the new depth."""
    refill_bucket(bucket, now=now)
    bucket.rate = rate
    bucket.depth = depth
    bucket.level = min(bucket.level, depth)


def refill_bucket(bucket: Bucket, *, now: float) -> None:
    """Add the tokens that accrued since the last update."""
    gained = max(0.0, now - bucket.updated_at) * bucket.rate
    bucket.level = min(bucket.depth, bucket.level + gained)
    bucket.promised = max(0.0, bucket.promised - gained)
    bucket.updated_at = max(now, bucket.updated_at)


def take_tokens(bucket: Bucket, tokens: float, *, now: float) -> bool:
    """Take `tokens` if the team is within its share; return whether it was.

    A full bucket admits a request that is larger than its depth; otherwise a team with
    a small burst could never send it.
    """
    refill_bucket(bucket, now=now)
    if (
        bucket.level + ROUNDING_TOLERANCE < min(tokens, bucket.depth)
        or bucket.depth <= 0
    ):
        return False
    bucket.level -= tokens
    return True


def settle_tokens(bucket: Bucket, *, reserved: float, used: float, now: float) -> None:
    """Replace the tokens reserved for a request by those that it actually used."""
    refill_bucket(bucket, now=now)
    bucket.level = min(bucket.depth, bucket.level + reserved - used)


def promise_tokens(bucket: Bucket, tokens: float, *, now: float) -> float | None:
    """Return the seconds until the share has `tokens` for one more refused caller.

    Each caller gets a later time than those refused before it. If all callers of a team
    far over its share got the same time, all but one would be refused again.
    """
    refill_bucket(bucket, now=now)
    if bucket.rate <= 0 or bucket.depth <= 0:
        return None
    need = min(tokens, bucket.depth)
    missing = max(0.0, need - bucket.level) + bucket.promised
    bucket.promised += need
    return missing / bucket.rate
