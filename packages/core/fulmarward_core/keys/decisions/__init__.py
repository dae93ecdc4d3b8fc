"""Decisions on idempotency keys at their home, their witness and other instances.

Only the home dispatches attempts, and only those that the witness has recorded. An
instance that cannot reach the home takes the key over at the witness. From then on the
witness records no further attempts, so its reply remains true.
"""
