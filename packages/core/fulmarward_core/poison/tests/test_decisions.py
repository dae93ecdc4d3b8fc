import random
import unittest

from fulmarward_core.codec.tests.calls import count_calls
from fulmarward_core.poison import CrashRecord, Verdict, find_poison

#: Fingerprints of whole requests.
_REQUEST, _OTHER = "request:a-1", "request:b-2"


def make_crash(pattern, target, *, at=None, team="t", strong=True, trusted=False):
    """Return a record of a crash, one second after that of the target before."""
    return CrashRecord(
        pattern=pattern,
        target=f"i-{target}",
        team=team,
        at=float(target) if at is None else at,
        is_strong=strong,
        is_trusted=trusted,
    )


def make_crashes(pattern, targets, **options):
    return [make_crash(pattern, target, **options) for target in targets]


class FindPoisonTest(unittest.TestCase):
    def find(self, *series):
        """Return patterns and verdicts, which do not depend on the order of records."""
        records = [record for crashes in series for record in crashes]
        found = find_poison(records)
        random.Random(1).shuffle(records)
        self.assertEqual(find_poison(records), found)
        return [("".join(sorted(f.patterns)), f.verdict) for f in found]

    def test_evidence(self):
        blocked, suspended = Verdict.BLOCKED, Verdict.SUSPENDED
        weak, trusted = {"strong": False}, {"trusted": True}
        together = {"at": 1.0}
        cases = [
            ("one crash", [make_crashes("x", [1])], []),
            ("two", [make_crashes("x", [1, 2])], [("x", suspended)]),
            ("three", [make_crashes("x", [1, 2, 3])], [("x", blocked)]),
            ("at the same time", [make_crashes("x", range(9), **together)], []),
            ("not begun", [make_crashes("x", range(3), **weak)], []),
            (
                "not begun, often",
                [make_crashes("x", range(6), **weak)],
                [("x", blocked)],
            ),
            ("trusted", [make_crashes("x", range(3), **trusted)], []),
            ("turned", [make_crashes("x", range(6), **trusted)], [("x", blocked)]),
            (
                "a target that several instances saw end",
                [[make_crash("x", 1, at=a, team=f"{a}") for a in (1.0, 2.0, 3.0)]],
                [],
            ),
            (
                "beside others that had not begun",
                [make_crashes("x", [1, 2, 3]), make_crashes("s", [1, 2, 3], **weak)],
                [("x", blocked)],
            ),
            (
                "beside others at some of the crashes",
                [make_crashes("x", range(5)), make_crashes("s", [1, 2, 3])],
                [("x", blocked)],
            ),
            (
                "always with another pattern",
                [make_crashes("x", range(3)), make_crashes("y", range(3))],
                [("xy", blocked)],
            ),
            (
                "two causes",
                [make_crashes("x", range(4)), make_crashes("y", range(10, 13))],
                [("x", blocked), ("y", blocked)],
            ),
        ]
        for name, series, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.find(*series), expected)

    def test_whole_requests(self):
        blocked = Verdict.BLOCKED
        weak = {"strong": False}
        cases = [
            ("two crashes", [make_crashes(_REQUEST, [1, 2])], []),
            ("three", [make_crashes(_REQUEST, [1, 2, 3])], [(_REQUEST, blocked)]),
            (
                "before the head",
                [make_crashes(_REQUEST, [1, 2, 3], **weak)],
                [(_REQUEST, blocked)],
            ),
            ("at the same time", [make_crashes(_REQUEST, range(9), at=1.0)], []),
            (
                "with a part that only it has",
                [make_crashes(_REQUEST, range(3)), make_crashes("x", range(3))],
                [(_REQUEST, blocked)],
            ),
            (
                "with a part that crashed another target",
                [make_crashes(_REQUEST, range(3)), make_crashes("x", range(4))],
                [("x", blocked)],
            ),
            (
                "beside another that was not being written",
                [
                    make_crashes(_REQUEST, range(3)),
                    make_crashes(_OTHER, range(3), **weak),
                ],
                [(_REQUEST, blocked)],
            ),
            (
                "beside one whose response had started",
                [
                    make_crashes(_REQUEST, range(3), **weak),
                    make_crashes(_OTHER, range(2)),
                ],
                [(_REQUEST, blocked)],
            ),
            (
                "always beside another",
                [make_crashes(_REQUEST, range(3)), make_crashes(_OTHER, range(3))],
                [],
            ),
            (
                "once without the other",
                [make_crashes(_REQUEST, range(4)), make_crashes(_OTHER, range(3))],
                [(_REQUEST, blocked)],
            ),
        ]
        for name, series, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.find(*series), expected)

    def test_team(self):
        """Guards against a team that has another team's patterns rejected."""
        for teams, expected in [("aaa", "a"), ("aab", None)]:
            records = [
                make_crash("x", target, team=team) for target, team in enumerate(teams)
            ]
            [finding] = find_poison(records)
            self.assertEqual(finding.team, expected)
            self.assertTrue(finding.matches({"x", "other"}, "a"))
            self.assertEqual(finding.matches({"x"}, "c"), expected is None)

    def test_work_grows_with_the_records(self):
        """Guards against an event loop that many blocked patterns keep busy."""

        def count(patterns):
            records = [
                make_crash(f"x{pattern}", 3 * pattern + number)
                for pattern in range(patterns)
                for number in range(3)
            ]
            found = []
            calls = count_calls(lambda: found.extend(find_poison(records)))
            self.assertEqual(len(found), patterns)
            return calls

        self.assertLess(count(200), 6 * count(50))
