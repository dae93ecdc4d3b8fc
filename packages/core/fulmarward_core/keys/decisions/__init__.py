"""Decisions about idempotency keys at their home, their witness and elsewhere.

Only the home dispatches, and only attempts that the witness has recorded. An
instance that cannot reach the home takes the key over at the witness; from then on
the witness records nothing more, so that what it says of the past stays true.
"""
