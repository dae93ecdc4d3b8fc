"""The types of the settings."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """PEM files of a TLS certificate."""

    #: Path of the certificate chain.
    certificate_file: str
    #: Path of the private key.
    key_file: str


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Resource limits and timeouts of an instance."""

    #: Maximum request body in bytes, so that one caller cannot take all memory.
    body_bytes: int = 2_000_000
    #: Milliseconds for a request body to arrive, so that slow senders don't pile up.
    body_ms: int = 10_000
    #: Maximum number of open requests: ten times the load of 24 requests/s for each of
    #: 330 instances, with answers of some seconds. More could need over 256 MB of
    #: memory.
    open_requests: int = 2_000
    #: Milliseconds for which an answer without readers waits for its caller.
    linger_ms: int = 5_000
    #: Milliseconds for which a finished answer is kept for a repeated request.
    keep_ms: int = 60_000
    #: Milliseconds for which a stopping instance waits for open requests.
    stop_ms: int = 60_000
    #: Timeout of a connection attempt to a target, milliseconds.
    connect_ms: int = 1_000
    #: Timeout of one call to the platform, milliseconds.
    platform_ms: int = 2_000
    #: Lease term in milliseconds. After a holder dies, placement stops for that long; a
    #: shorter term means more writes to the table. Four pools renewed each third of the
    #: term make about one write a second.
    lease_ms: int = 10_000
    #: Maximum time in flight of an order to an engine, milliseconds. A new lease holder
    #: waits as long before it sends orders if any engine ignores fencing numbers.
    order_ms: int = 5_000
    #: Milliseconds for which callers cache a discovery answer.
    discovery_ms: int = 5_000
    #: Milliseconds for which an idempotency key is accepted for a new request. This
    #: outlasts any caller's retries; an entry is kept for each key at least this long.
    key_ms: int = 600_000


@dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """All settings of one instance."""

    #: The instance's unique name.
    name: str
    #: Name of its data centre.
    data_centre: str
    #: Address that callers connect to, `IP:PORT`.
    caller_address: str
    #: Address that operators connect to, `IP:PORT`.
    operator_address: str
    #: Address that peers connect to, `IP:PORT`.
    peer_address: str
    #: Address of the platform's service, `IP:PORT`.
    platform_address: str
    #: File with the token for calls to the platform.
    platform_token_file: str
    #: File with operator tokens, one per line.
    operator_tokens_file: str
    #: File with peer secrets, one per line: the first one signs, all are accepted.
    peer_secrets_file: str
    #: Peer addresses to contact even if the platform's list cannot be read.
    seed_peers: tuple[str, ...]
    #: TLS files for the listeners of callers and operators; `None` for plain HTTP.
    tls: TlsFiles | None
    #: Log level: `debug`, `info`, `warning` or `error`.
    log_level: str
    #: Resource limits and timeouts.
    limits: Limits
