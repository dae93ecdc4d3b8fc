"""The types of the settings."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """The files of a certificate, in PEM."""

    #: Path of the certificate chain.
    certificate_file: str
    #: Path of the private key.
    key_file: str


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds that protect an instance. Each says load, harm and reason."""

    #: Largest body of a call in bytes. Harm: one caller takes the memory of all.
    body_bytes: int = 2_000_000
    #: Time a body may take to arrive, milliseconds. Harm: slow senders pile up.
    body_ms: int = 10_000
    #: Requests open at once. Load: 24 requests/s for each of 330 instances, answers
    #: of some seconds; harm: memory past 256 MB; reason: ten times that load.
    open_requests: int = 2_000
    #: Time an answer without readers waits for its caller, milliseconds.
    linger_ms: int = 5_000
    #: Time a finished answer is kept for a repeat, milliseconds.
    keep_ms: int = 60_000
    #: Time that open requests have to end after a stop, milliseconds.
    stop_ms: int = 60_000
    #: Time to make a connection to a target, milliseconds.
    connect_ms: int = 1_000
    #: Time the platform has for one call, milliseconds.
    platform_ms: int = 2_000
    #: Term of a lease, milliseconds. Load: a holder that dies; harm: placement stands
    #: still that long, or the table is written more often; reason: four pools renewed
    #: each third of it are about one write a second.
    lease_ms: int = 10_000
    #: Longest flight of an order to an engine, milliseconds. Harm: a successor waits
    #: as long before it sends orders to engines that ignore fencing numbers.
    order_ms: int = 5_000
    #: How long callers keep a discovery answer, milliseconds.
    discovery_ms: int = 5_000
    #: How long an idempotency key is taken for a new request, milliseconds. Harm: an
    #: entry is kept for each key this long; reason: past any caller's retries.
    key_ms: int = 600_000


@dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """All settings of one instance."""

    #: The instance's name, unlike any other instance's.
    name: str
    #: Name of its data centre.
    data_centre: str
    #: Where callers reach it, `IP:PORT`.
    caller_address: str
    #: Where operators reach it, `IP:PORT`.
    operator_address: str
    #: Where peers reach it, `IP:PORT`.
    peer_address: str
    #: Where the platform's service is, `IP:PORT`.
    platform_address: str
    #: File with the token for the platform.
    platform_token_file: str
    #: File with operator tokens, one a line.
    operator_tokens_file: str
    #: File with peer secrets, one a line: the first signs, all are accepted.
    peer_secrets_file: str
    #: Peer addresses to try while the platform's list cannot be read.
    seed_peers: tuple[str, ...]
    #: TLS towards callers and operators, or `None` for plain HTTP.
    tls: TlsFiles | None
    #: Level of the log: `debug`, `info`, `warning` or `error`.
    log_level: str
    #: The bounds.
    limits: Limits
