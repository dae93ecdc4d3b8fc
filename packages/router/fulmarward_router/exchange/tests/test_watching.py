import asyncio
import unittest
from dataclasses import dataclass

from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import LossWatch


@dataclass(frozen=True)
class _Record:
    name: str


class _Catalogue:
    def find_target(self, name):
        return _Record(name)


class _Dialect:
    """Targets that answer a report or not; a call takes no time but its time-out."""

    def __init__(self, clock, silent):
        self._clock = clock
        self._silent = silent
        self.asked = []

    async def read_report(self, record, timeout_s):
        self.asked.append((record.name, timeout_s))
        if record.name in self._silent(self._clock.now):
            began_at = self._clock.now
            await asyncio.sleep(0)
            self._clock.now = began_at + timeout_s
            return None
        return "report"


class _Clock:
    now = 100.0


def _probe(names, silent, table=None):
    """Return the targets believed lost after a probe, and the seconds it took."""
    clock = _Clock()
    table = SuspicionTable() if table is None else table

    async def run():
        watch = LossWatch(
            dialect=_Dialect(clock, silent),
            catalogue=_Catalogue(),
            suspicions=table,
            read_clock=lambda: clock.now,
            note_change=lambda: None,
        )
        watch.probe(names)
        await watch.check(names)

    asyncio.run(run())
    lost = "".join(item.target for item in table.list_lost(now=clock.now))
    return lost, clock.now - 100.0


class CheckTest(unittest.TestCase):
    def test_refused_path_is_known_whole_before_the_next_one_is_chosen(self):
        # Four targets crash together. A request is refused because of the first, its
        # next path leads through the second and the last one through the third: its
        # three attempts are gone after 7 ms, and its caller is refused.
        clock = _Clock()
        table = SuspicionTable()

        async def run():
            watch = LossWatch(
                dialect=_Dialect(clock, lambda now: "abcd"),
                catalogue=_Catalogue(),
                suspicions=table,
                read_clock=lambda: clock.now,
                note_change=lambda: None,
            )
            await asyncio.gather(watch.check("abcdefghij"), watch.check("cdefghijkl"))

        asyncio.run(run())
        found = {item.target for item in table.list_lost(now=clock.now)}
        self.assertEqual(found, set("abcd"))


class ProbeTest(unittest.TestCase):
    def test_targets_that_fail_together_are_found_before_a_pause_is_too_long(self):
        # A group of four targets crashes. Streams stand still, and what lies on their
        # paths is asked. The second probe took 0.25 s; a pause may take that in all.
        lost, took_s = _probe("abcdefghij", lambda now: "abcd")
        self.assertEqual(lost, "abcd")
        self.assertLess(took_s, 0.08)

    def test_instance_that_hears_nobody_for_a_moment_believes_nobody_lost(self):
        # Its own link is full for a tenth of a second: most probes fail, none is lost.
        lost, _ = _probe("abcd", lambda now: "abc" if now < 100.03 else "")
        self.assertEqual(lost, "")

    def test_word_of_a_peer_is_settled_by_a_probe(self):
        # A peer tells of two targets. The one that answers takes new work again and
        # keeps its streams, the other is lost here too, and is not told on.
        table = SuspicionTable()
        for name in "ab":
            table.note_told(name, for_s=2.0, now=100.0)
        _probe("abcd", lambda now: "b", table)
        found = {
            n: (table.is_suspect(n, now=100.1), table.is_lost(n, now=100.1))
            for n in "ab"
        }
        self.assertEqual(found, {"a": (False, False), "b": (True, True)})
        self.assertEqual(table.list_lost(now=100.1), [])

    def test_single_silent_target_is_lost_at_once(self):
        lost, took_s = _probe("abcd", lambda now: "b")
        self.assertEqual(lost, "b")
        self.assertLess(took_s, 0.04)
