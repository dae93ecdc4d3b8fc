"""Test doubles of the systems around fulmarward. The product never imports them.

Each implements the protocol described in docs/STAND-INS.md, keeps a ledger of what
it executed, and injects faults that are set over `POST /control`.
"""
