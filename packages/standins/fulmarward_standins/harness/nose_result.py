"""A nose2 plugin that records every test's outcome for the final summary."""

from dataclasses import dataclass, field

from nose2 import events


@dataclass(kw_only=True)
class Outcomes:
    """Ids of the tests that ran, by outcome."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)


#: The outcomes of this process's run.
OUTCOMES = Outcomes()


class RecordOutcomes(events.Plugin):
    """Records outcomes; an expected failure passes, an unexpected success fails."""

    alwaysOn = True  # noqa: N815
    configSection = "keep-outcomes"  # noqa: N815

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Record one outcome; a passed subtest is covered by its test."""
        if event.outcome == "subtest":
            if event.exc_info is not None:
                OUTCOMES.failed.append(event.test.id())
            return
        if event.outcome == "skipped":
            OUTCOMES.skipped.append(event.test.id())
        elif event.expected:
            OUTCOMES.passed.append(event.test.id())
        else:
            OUTCOMES.failed.append(event.test.id())
