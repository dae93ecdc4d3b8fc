"""Types of the configuration slice."""

from dataclasses import dataclass
from enum import Enum

from fulmarward_core.declaration import Declaration


@dataclass(frozen=True, kw_only=True)
class Head:
    """The row that says which declaration is in force."""

    #: Rises by one with each accepted file; 0 before the first.
    epoch: int
    #: Hash of the declaration's manifest, its key in the object store.
    content_hash: str
    #: Id of the apply that wrote the row, made by the operator's client.
    apply_id: str
    #: Who applied it, for a conflict's message.
    applied_by: str
    #: Seconds since 1970 when it was applied.
    applied_at: float


#: What stands before any file was applied.
EMPTY_HEAD = Head(epoch=0, content_hash="", apply_id="", applied_by="", applied_at=0.0)


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """A head with its whole, valid declaration.

    A request keeps the snapshot it began with to its end.
    """

    #: The head.
    head: Head
    #: The declaration whose hash the head carries.
    declaration: Declaration


#: The configuration of an instance that knows none yet.
EMPTY_SNAPSHOT = Snapshot(
    head=EMPTY_HEAD,
    declaration=Declaration(
        data_centres={},
        links=(),
        teams={},
        models={},
        pipelines={},
        services={},
        targets={},
    ),
)


class Adoption(Enum):
    """What to do with an offered head."""

    #: It is newer: fetch the body and adopt it.
    ADOPT = "adopt"
    #: It is what stands already.
    SAME = "same"
    #: It is older than what stands.
    OLDER = "older"
    #: Same epoch, other content: one of the two never was in force.
    CONFLICT = "conflict"


class ApplyStep(Enum):
    """How to go on with an apply."""

    #: This very apply has taken effect already.
    DONE = "done"
    #: Another apply put the same content in force.
    UNCHANGED = "unchanged"
    #: Another epoch than the operator's base: this apply may have made it.
    LOOK_BACK = "look_back"
    #: Write the new head.
    COMMIT = "commit"
