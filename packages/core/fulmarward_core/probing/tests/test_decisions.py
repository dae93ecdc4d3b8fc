import unittest
from types import SimpleNamespace

from fulmarward_core.probing import (
    CONFIRM_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    ProbeRound,
    ProbeVerdict,
    choose_controls,
    count_controls,
    evaluate_round,
)

#: Timeout of a first round, of one that repeats it, and of a long one; whether each is
#: a repeat.
_ROUNDS = (
    (PROBE_TIMEOUT_S, False),
    (PROBE_TIMEOUT_S, True),
    (CONFIRM_TIMEOUT_S, True),
)

_OWN = ProbeVerdict(is_isolated=True)
_LONG = ProbeVerdict(retry_timeout_s=CONFIRM_TIMEOUT_S)
_SHORT = ProbeVerdict(retry_timeout_s=PROBE_TIMEOUT_S)


def _lose(names):
    return ProbeVerdict(unreachable=tuple(names))


class EvaluateRoundTest(unittest.TestCase):
    def test_findings(self):
        """Guards against healthy targets being reported by an isolated instance."""
        first, again, long = _ROUNDS
        cases = [
            # name, round, asked, who answered, seconds of an answer, late by, finding
            ("all answer", first, "abc", "abc", 0.002, 0, ProbeVerdict()),
            ("all answer, late", first, "abc", "abc", 0.03, 0.1, ProbeVerdict()),
            ("one is silent", first, "abc", "bc", 0.002, 0, _lose("a")),
            ("one is silent, here late", first, "abc", "bc", 0.002, 0.02, _LONG),
            ("one is silent, answers late", first, "abc", "bc", 0.03, 0, _LONG),
            ("some are silent", first, "abcde", "cde", 0.002, 0, _SHORT),
            ("most are silent", first, "abc", "c", 0.002, 0, _LONG),
            ("nobody answers", first, "abc", "", 0, 0, _LONG),
            ("nobody but one is there", first, "a", "", 0, 0, _LONG),
            ("some are silent again", again, "abcde", "de", 0.002, 0, _lose("abc")),
            ("again, here late", again, "abcde", "de", 0.002, 0.02, _LONG),
            ("again, answers late", again, "abcd", "cd", 0.03, 0, _LONG),
            ("again nobody answers", again, "abcd", "", 0, 0, _LONG),
            ("silent for long", long, "abcd", "cd", 0.002, 0, _lose("ab")),
            ("silent for long, here late", long, "abc", "c", 0.002, 1, _lose("ab")),
            ("silent for long, answers late", long, "abcd", "cd", 0.2, 0, _OWN),
            ("nobody answers for long", long, "abcd", "", 0, 0, _OWN),
            ("nobody but one for long", long, "a", "", 0, 0, _OWN),
        ]
        for name, (limit_s, is_repeat), asked, heard, answer_s, late_s, found in cases:
            with self.subTest(name):
                probe_round = ProbeRound(
                    probed=asked,
                    answers=dict.fromkeys(heard, answer_s),
                    timeout_s=limit_s,
                    took_s=limit_s + late_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(evaluate_round(probe_round), found)

    def test_own_pause_within_a_round(self):
        """Guards against answers that arrive while the event loop is blocked."""
        first, again, long = _ROUNDS
        cases = [
            # name, round, seconds of the pause, who answered of a to d, finding
            ("short pause", first, 0.009, "bcd", _lose("a")),
            ("long pause", first, 0.011, "bcd", _SHORT),
            ("long pause, all answer", first, 0.034, "abcd", ProbeVerdict()),
            ("long pause, most are silent", first, 0.034, "d", _LONG),
            ("short pause again", again, 0.009, "bcd", _lose("a")),
            ("long pause again", again, 0.011, "bcd", _LONG),
            ("pause in a long round", long, 0.034, "bcd", _lose("a")),
        ]
        for name, (limit_s, is_repeat), paused_s, heard, found in cases:
            with self.subTest(name):
                probe_round = ProbeRound(
                    probed="abcd",
                    answers=dict.fromkeys(heard, 0.002),
                    timeout_s=limit_s,
                    took_s=limit_s,
                    paused_s=paused_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(evaluate_round(probe_round), found)

    def test_missing_control_is_probed_before_it_is_judged(self):
        """Guards against excluding a healthy control that missed one short timeout."""
        first, again, long = _ROUNDS
        cases = [
            # round, who answered of a and the controls c to e, unreachable, suspects
            (first, "acd", (), ("e",)),
            (again, "cd", ("a",), ("e",)),
            (long, "cd", ("a",), ("e",)),
            (long, "acd", (), ("e",)),
        ]
        for (timeout_s, is_repeat), heard, unreachable, suspects in cases:
            with self.subTest(timeout_s=timeout_s, heard=heard):
                probe_round = ProbeRound(
                    probed="acde",
                    answers=dict.fromkeys(heard, 0.002),
                    timeout_s=timeout_s,
                    took_s=timeout_s,
                    is_repeat=is_repeat,
                    controls="cde",
                )
                found = ProbeVerdict(unreachable=unreachable, suspects=suspects)
                self.assertEqual(evaluate_round(probe_round), found)

    def test_round_that_was_mostly_paused_shows_nothing(self):
        """Guards against a blocked event loop that hears some answers in time."""
        for paused_s, found in ((0.1, _lose("a")), (0.2, _OWN)):
            with self.subTest(paused_s=paused_s):
                probe_round = ProbeRound(
                    probed="abc",
                    answers={"b": 0.002, "c": 0.002},
                    timeout_s=CONFIRM_TIMEOUT_S,
                    took_s=CONFIRM_TIMEOUT_S,
                    paused_s=paused_s,
                    is_repeat=True,
                )
                self.assertEqual(evaluate_round(probe_round), found)

    def test_one_late_answer_of_several_says_nothing_of_the_link(self):
        probe_round = ProbeRound(
            probed="abcd",
            answers={"b": 0.002, "c": 0.03, "d": 0.002},
            timeout_s=PROBE_TIMEOUT_S,
            took_s=PROBE_TIMEOUT_S,
        )
        self.assertEqual(evaluate_round(probe_round), _lose("a"))

    def test_answer_of_one_that_was_not_asked_is_refused(self):
        with self.assertRaises(ValueError):
            ProbeRound(
                probed="a",
                answers={"b": 0.1},
                timeout_s=PROBE_TIMEOUT_S,
                took_s=PROBE_TIMEOUT_S,
            )


def _make(name, data_centre, layers="0-10", is_leaving=False):
    return SimpleNamespace(
        name=name, data_centre=data_centre, layers=layers, is_leaving=is_leaving
    )


class ControlTest(unittest.TestCase):
    def test_small_rounds_are_filled_up(self):
        found = [count_controls(number) for number in range(1, 6)]
        self.assertEqual(found, [2, 1, 0, 0, 0])
        self.assertEqual(count_controls(20, is_repeat=True), 2)

    def test_choice(self):
        north = [_make("a", "north"), _make("b", "north"), _make("c", "north")]
        south = [_make("d", "south"), _make("e", "south", is_leaving=True)]
        plain = [_make("p", "north", layers=None)]
        cases = [
            ("one of each data centre", north + south, "", 2, 0, "ad"),
            ("others at another turn", north + south, "", 2, 1, "db"),
            ("more than data centres", north + south, "", 3, 0, "adb"),
            ("not those in question", north + south, "ad", 2, 0, "bc"),
            ("those with layers first", north + plain, "", 9, 0, "abc"),
            ("plain ones where there are no others", plain, "", 2, 7, "p"),
            ("nobody", [], "", 2, 5, ""),
        ]
        for name, records, excluded, count, offset, expected in cases:
            with self.subTest(name):
                found = choose_controls(
                    records, excluded=excluded, count=count, offset=offset
                )
                self.assertEqual("".join(record.name for record in found), expected)

    def test_doubted_ones_are_asked_only_where_others_are_too_few(self):
        records = [_make(n, "north") for n in "abc"] + [_make(n, "south") for n in "de"]
        cases = [
            # suspected, excluded, count, expected
            ("ad", "", 2, "be"),
            ("abcd", "", 2, "ea"),
            ("abcde", "", 2, "ad"),
            ("abc", "de", 3, "abc"),
        ]
        for suspected, excluded, count, expected in cases:
            with self.subTest(suspected=suspected, excluded=excluded):
                found = choose_controls(
                    records,
                    excluded=excluded,
                    suspected=suspected,
                    count=count,
                    offset=0,
                )
                self.assertEqual("".join(record.name for record in found), expected)
