"""Sold shares: how they are split over instances, taken from and given back.

Counted in tokens, prompt and output together, because requests differ a thousandfold.
"""

from collections.abc import Mapping

from fulmarward_core.admission._types import Bucket

#: Part of a share that is split evenly whatever the demand. Load: callers that move
#: to another instance; harm: they find nothing left of their team's share there until
#: the demand is heard of; reason: a fifth carries them over those seconds.
EVEN_PART = 0.2

#: Times its part of the rate that an instance gets of a burst. Load: requests of
#: thousands of tokens; harm: a team inside its share finds its part too small for the
#: next request at one instance while others hold it unused; reason: the rate is kept
#: whatever the depth, only the bursts together are up to twice what was sold.
BURST_FACTOR = 2.0

#: Tokens that a bucket may lack. Load: callers that come back to the moment that they
#: were told; harm: they are refused for a rounding of floating-point numbers; reason:
#: far more than such roundings add up to, far less than one token.
TOLERANCE = 0.01


def split_share(*, own: float, others: Mapping[str, float], members: int) -> float:
    """Return the part of a team's share that this instance may hand out.

    `own` and `others` are tokens a second that were asked for here and, by instance,
    elsewhere; `members` counts all live instances. One of which nothing is heard
    counts with the mean, so that a silent instance's part is not handed out twice.
    """
    if members <= 1:
        return 1.0
    heard = 1 + len(others)
    total = own + sum(others.values())
    total += max(0, members - heard) * total / heard
    if total <= 0:
        return 1.0 / members
    return EVEN_PART / members + (1 - EVEN_PART) * own / total


def split_burst(burst_tokens: float, part: float) -> float:
    """Return the depth of a bucket at an instance that has `part` of the share."""
    return burst_tokens * min(1.0, BURST_FACTOR * part)


def make_bucket(*, rate: float, depth: float, now: float) -> Bucket:
    """Return a full bucket."""
    return Bucket(rate=rate, depth=depth, level=depth, updated_at=now)


def resize_bucket(bucket: Bucket, *, rate: float, depth: float, now: float) -> None:
    """Change a bucket's rate and depth; what it holds is cut to the new depth."""
    refill_bucket(bucket, now=now)
    bucket.rate = rate
    bucket.depth = depth
    bucket.level = min(bucket.level, depth)


def refill_bucket(bucket: Bucket, *, now: float) -> None:
    """Bring the bucket up to the present time."""
    gained = max(0.0, now - bucket.updated_at) * bucket.rate
    bucket.level = min(bucket.depth, bucket.level + gained)
    bucket.promised = max(0.0, bucket.promised - gained)
    bucket.updated_at = max(now, bucket.updated_at)


def take_tokens(bucket: Bucket, tokens: float, *, now: float) -> bool:
    """Take `tokens` if the team is inside its share; return whether it was.

    A request larger than the bucket is let through by a full one, else a team with a
    small burst could never send it.
    """
    refill_bucket(bucket, now=now)
    if bucket.level + TOLERANCE < min(tokens, bucket.depth) or bucket.depth <= 0:
        return False
    bucket.level -= tokens
    return True


def settle_tokens(bucket: Bucket, *, reserved: float, used: float, now: float) -> None:
    """Replace what was reserved for a request by what it really used."""
    refill_bucket(bucket, now=now)
    bucket.level = min(bucket.depth, bucket.level + reserved - used)


def promise_tokens(bucket: Bucket, tokens: float, *, now: float) -> float | None:
    """Return in how many seconds the share will hold `tokens` more for one caller.

    Load: a team far over its share; harm: all refused callers are told the same
    moment, and all but one are refused again; reason: each is told a moment after
    those who were told before it.
    """
    refill_bucket(bucket, now=now)
    if bucket.rate <= 0 or bucket.depth <= 0:
        return None
    need = min(tokens, bucket.depth)
    lacking = max(0.0, need - bucket.level) + bucket.promised
    bucket.promised += need
    return lacking / bucket.rate
