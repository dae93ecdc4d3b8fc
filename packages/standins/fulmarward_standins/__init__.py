"""Small stand-ins for the systems around fulmarward. The product never imports them.

Each speaks the published protocol that its own page in docs/STAND-INS.md gives,
keeps a ledger of what it executed, and can be told over `POST /control` to fail.
"""
