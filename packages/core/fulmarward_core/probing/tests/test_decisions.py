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

#: Timeout and `is_repeat` of a first round, a short repeat and a long repeat.
_ROUNDS = (
    (PROBE_TIMEOUT_S, False),
    (PROBE_TIMEOUT_S, True),
    (CONFIRM_TIMEOUT_S, True),
)

_ISOLATED = ProbeVerdict(is_isolated=True)
_LONG = ProbeVerdict(retry_timeout_s=CONFIRM_TIMEOUT_S)
_SHORT = ProbeVerdict(retry_timeout_s=PROBE_TIMEOUT_S)


def _unreachable(names):
    return ProbeVerdict(unreachable=tuple(names))


class EvaluateRoundTest(unittest.TestCase):
    def test_verdicts(self):
        """Guards against healthy targets being reported by an isolated instance."""
        first, short, long = _ROUNDS
        cases = [
            # name, round, probed, answered, latency, lateness of the round, verdict
            ("all answer", first, "abc", "abc", 0.002, 0, ProbeVerdict()),
            ("all answer, late", first, "abc", "abc", 0.03, 0.1, ProbeVerdict()),
            ("one missing", first, "abc", "bc", 0.002, 0, _unreachable("a")),
            ("one missing, late round", first, "abc", "bc", 0.002, 0.02, _LONG),
            ("one missing, slow answers", first, "abc", "bc", 0.03, 0, _LONG),
            ("some missing", first, "abcde", "cde", 0.002, 0, _SHORT),
            ("most missing", first, "abc", "c", 0.002, 0, _LONG),
            ("no answers", first, "abc", "", 0, 0, _LONG),
            ("only target missing", first, "a", "", 0, 0, _LONG),
            ("short repeat", short, "abcde", "de", 0.002, 0, _unreachable("abc")),
            ("short repeat, late round", short, "abcde", "de", 0.002, 0.02, _LONG),
            ("short repeat, slow answers", short, "abcd", "cd", 0.03, 0, _LONG),
            ("short repeat, no answers", short, "abcd", "", 0, 0, _LONG),
            ("long repeat", long, "abcd", "cd", 0.002, 0, _unreachable("ab")),
            ("long repeat, late round", long, "abc", "c", 0.002, 1, _unreachable("ab")),
            ("long repeat, slow answers", long, "abcd", "cd", 0.2, 0, _ISOLATED),
            ("long repeat, no answers", long, "abcd", "", 0, 0, _ISOLATED),
            ("long repeat, only target missing", long, "a", "", 0, 0, _ISOLATED),
        ]
        for (
            name,
            (timeout_s, is_repeat),
            probed,
            answered,
            latency_s,
            late_s,
            verdict,
        ) in cases:
            with self.subTest(name):
                probe_round = ProbeRound(
                    probed=probed,
                    answers=dict.fromkeys(answered, latency_s),
                    timeout_s=timeout_s,
                    took_s=timeout_s + late_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(evaluate_round(probe_round), verdict)

    def test_blocked_event_loop_within_a_round(self):
        """Guards against answers that arrive while the event loop is blocked."""
        first, short, long = _ROUNDS
        cases = [
            # name, round, seconds blocked, answered of a to d, verdict
            ("short pause", first, 0.009, "bcd", _unreachable("a")),
            ("long pause", first, 0.011, "bcd", _SHORT),
            ("long pause, all answer", first, 0.034, "abcd", ProbeVerdict()),
            ("long pause, most missing", first, 0.034, "d", _LONG),
            ("short pause in a short repeat", short, 0.009, "bcd", _unreachable("a")),
            ("long pause in a short repeat", short, 0.011, "bcd", _LONG),
            ("pause in a long repeat", long, 0.034, "bcd", _unreachable("a")),
        ]
        for name, (timeout_s, is_repeat), paused_s, answered, verdict in cases:
            with self.subTest(name):
                probe_round = ProbeRound(
                    probed="abcd",
                    answers=dict.fromkeys(answered, 0.002),
                    timeout_s=timeout_s,
                    took_s=timeout_s,
                    paused_s=paused_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(evaluate_round(probe_round), verdict)

    def test_missing_control_is_probed_before_it_is_judged(self):
        """Guards against excluding a healthy control that missed one short timeout."""
        first, short, long = _ROUNDS
        cases = [
            # round, answered of a and the controls c to e, unreachable, suspects
            (first, "acd", (), ("e",)),
            (short, "cd", ("a",), ("e",)),
            (long, "cd", ("a",), ("e",)),
            (long, "acd", (), ("e",)),
        ]
        for (timeout_s, is_repeat), answered, unreachable, suspects in cases:
            with self.subTest(timeout_s=timeout_s, answered=answered):
                probe_round = ProbeRound(
                    probed="acde",
                    answers=dict.fromkeys(answered, 0.002),
                    timeout_s=timeout_s,
                    took_s=timeout_s,
                    is_repeat=is_repeat,
                    controls="cde",
                )
                verdict = ProbeVerdict(unreachable=unreachable, suspects=suspects)
                self.assertEqual(evaluate_round(probe_round), verdict)

    def test_round_that_was_mostly_paused_proves_nothing(self):
        """Guards against a blocked event loop that receives some answers in time."""
        for paused_s, verdict in ((0.1, _unreachable("a")), (0.2, _ISOLATED)):
            with self.subTest(paused_s=paused_s):
                probe_round = ProbeRound(
                    probed="abc",
                    answers={"b": 0.002, "c": 0.002},
                    timeout_s=CONFIRM_TIMEOUT_S,
                    took_s=CONFIRM_TIMEOUT_S,
                    paused_s=paused_s,
                    is_repeat=True,
                )
                self.assertEqual(evaluate_round(probe_round), verdict)

    def test_one_slow_answer_of_several_does_not_make_the_link_suspect(self):
        probe_round = ProbeRound(
            probed="abcd",
            answers={"b": 0.002, "c": 0.03, "d": 0.002},
            timeout_s=PROBE_TIMEOUT_S,
            took_s=PROBE_TIMEOUT_S,
        )
        self.assertEqual(evaluate_round(probe_round), _unreachable("a"))

    def test_answer_of_a_target_that_was_not_probed_is_rejected(self):
        with self.assertRaises(ValueError):
            ProbeRound(
                probed="a",
                answers={"b": 0.1},
                timeout_s=PROBE_TIMEOUT_S,
                took_s=PROBE_TIMEOUT_S,
            )


def _make_record(name, data_centre, layers="0-10", is_leaving=False):
    return SimpleNamespace(
        name=name, data_centre=data_centre, layers=layers, is_leaving=is_leaving
    )


class ControlTest(unittest.TestCase):
    def test_small_rounds_get_controls(self):
        counts = [count_controls(number) for number in range(1, 6)]
        self.assertEqual(counts, [2, 1, 0, 0, 0])
        self.assertEqual(count_controls(20, is_repeat=True), 2)

    def test_choice(self):
        north = [
            _make_record("a", "north"),
            _make_record("b", "north"),
            _make_record("c", "north"),
        ]
        south = [
            _make_record("d", "south"),
            _make_record("e", "south", is_leaving=True),
        ]
        no_layers = [_make_record("p", "north", layers=None)]
        cases = [
            ("one of each data centre", north + south, "", 2, 0, "ad"),
            ("another offset", north + south, "", 2, 1, "db"),
            ("more than data centres", north + south, "", 3, 0, "adb"),
            ("without the excluded", north + south, "ad", 2, 0, "bc"),
            ("targets with layers first", north + no_layers, "", 9, 0, "abc"),
            ("only targets without layers", no_layers, "", 2, 7, "p"),
            ("no targets", [], "", 2, 5, ""),
        ]
        for name, records, excluded, count, offset, expected in cases:
            with self.subTest(name):
                controls = choose_controls(
                    records, excluded=excluded, count=count, offset=offset
                )
                self.assertEqual("".join(record.name for record in controls), expected)

    def test_suspected_targets_are_chosen_only_if_there_are_too_few_others(self):
        records = [_make_record(n, "north") for n in "abc"] + [
            _make_record(n, "south") for n in "de"
        ]
        cases = [
            # suspected, excluded, count, expected
            ("ad", "", 2, "be"),
            ("abcd", "", 2, "ea"),
            ("abcde", "", 2, "ad"),
            ("abc", "de", 3, "abc"),
        ]
        for suspected, excluded, count, expected in cases:
            with self.subTest(suspected=suspected, excluded=excluded):
                controls = choose_controls(
                    records,
                    excluded=excluded,
                    suspected=suspected,
                    count=count,
                    offset=0,
                )
                self.assertEqual("".join(record.name for record in controls), expected)
