"""Reads the secret files, which may change while the instance is running."""

import hashlib
import hmac
from dataclasses import dataclass
from pathlib import Path

from fulmarward.settings._types import InstanceSettings
from fulmarward_core.checks import Fault

#: Minimum length of a secret in characters.
MIN_SECRET_LENGTH = 8


@dataclass(frozen=True, kw_only=True)
class Secrets:
    """The secrets of an instance, which are never shown or logged."""

    #: Token for calls to the platform.
    platform_token: str
    #: Accepted operator tokens.
    operator_tokens: tuple[str, ...]
    #: Peer secrets: the first one signs, all are accepted.
    peer_secrets: tuple[bytes, ...]

    def derive_key(self, purpose: str) -> bytes:
        """Return the fleet-wide signing key for one purpose."""
        return self.derive_keys(purpose)[0]

    def derive_keys(self, purpose: str) -> tuple[bytes, ...]:
        """Return the keys derived from all accepted secrets, the signing key first."""
        return tuple(
            hmac.new(secret, purpose.encode(), hashlib.sha256).digest()
            for secret in self.peer_secrets
        )


def _read_lines(path: str, where: str, faults: list[Fault]) -> tuple[str, ...]:
    try:
        lines = Path(path).read_text().split()
    except (OSError, UnicodeDecodeError) as error:
        faults.append(Fault(where=where, expected="a readable file", found=str(error)))
        return ()
    expected = f"lines of at least {MIN_SECRET_LENGTH} characters each"
    if not lines:
        faults.append(Fault(where=where, expected=expected, found="an empty file"))
    if any(len(line) < MIN_SECRET_LENGTH for line in lines):
        faults.append(Fault(where=where, expected=expected, found="a shorter line"))
    return tuple(lines)


def load_secrets(settings: InstanceSettings) -> Secrets | tuple[Fault, ...]:
    """Return the secrets from the files in the settings, or all faults found."""
    faults: list[Fault] = []
    platform = _read_lines(settings.platform_token_file, "platform_token_file", faults)
    operators = _read_lines(
        settings.operator_tokens_file, "operator_tokens_file", faults
    )
    peers = _read_lines(settings.peer_secrets_file, "peer_secrets_file", faults)
    if faults:
        return tuple(faults)
    return Secrets(
        platform_token=platform[0],
        operator_tokens=operators,
        peer_secrets=tuple(line.encode() for line in peers),
    )
