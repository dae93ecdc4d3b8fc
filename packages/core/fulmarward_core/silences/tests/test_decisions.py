import unittest
from types import SimpleNamespace

from fulmarward_core.silences import (
    CONFIRM_S,
    PROBE_S,
    AskedRound,
    Finding,
    choose_witnesses,
    count_witnesses,
    judge_round,
)

_OWN = Finding(is_own_silence=True)
_LONG = Finding(again_s=CONFIRM_S)
_SHORT = Finding(again_s=PROBE_S)


def _lose(names):
    return Finding(lost=tuple(names))


class JudgeRoundTest(unittest.TestCase):
    def test_findings(self):
        # An instance whose own link was full heard nobody for seconds, took sound
        # targets for lost and told all others. Only a silence beside an answer counts.
        first, again, long = (PROBE_S, False), (PROBE_S, True), (CONFIRM_S, True)
        cases = [
            # name, round, asked, who answered, seconds of an answer, late by, finding
            ("all answer", first, "abc", "abc", 0.002, 0, Finding()),
            ("all answer, late", first, "abc", "abc", 0.03, 0.1, Finding()),
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
                asked_round = AskedRound(
                    asked=asked,
                    answers=dict.fromkeys(heard, answer_s),
                    limit_s=limit_s,
                    took_s=limit_s + late_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(judge_round(asked_round), found)

    def test_own_pause_within_a_round(self):
        # An instance stood still for 34 ms of the 35, and took a sound target for lost
        # whose answer had come meanwhile. What it did not listen to says nothing.
        first, again, long = (PROBE_S, False), (PROBE_S, True), (CONFIRM_S, True)
        cases = [
            # name, round, seconds of the pause, who answered of a to d, finding
            ("short pause", first, 0.009, "bcd", _lose("a")),
            ("long pause", first, 0.011, "bcd", _SHORT),
            ("long pause, all answer", first, 0.034, "abcd", Finding()),
            ("long pause, most are silent", first, 0.034, "d", _LONG),
            ("short pause again", again, 0.009, "bcd", _lose("a")),
            ("long pause again", again, 0.011, "bcd", _LONG),
            ("pause in a long round", long, 0.034, "bcd", _lose("a")),
        ]
        for name, (limit_s, is_repeat), paused_s, heard, found in cases:
            with self.subTest(name):
                asked_round = AskedRound(
                    asked="abcd",
                    answers=dict.fromkeys(heard, 0.002),
                    limit_s=limit_s,
                    took_s=limit_s,
                    paused_s=paused_s,
                    is_repeat=is_repeat,
                )
                self.assertEqual(judge_round(asked_round), found)

    def test_one_late_answer_of_several_says_nothing_of_the_link(self):
        asked_round = AskedRound(
            asked="abcd",
            answers={"b": 0.002, "c": 0.03, "d": 0.002},
            limit_s=PROBE_S,
            took_s=PROBE_S,
        )
        self.assertEqual(judge_round(asked_round), _lose("a"))

    def test_answer_of_one_that_was_not_asked_is_refused(self):
        with self.assertRaises(ValueError):
            AskedRound(asked="a", answers={"b": 0.1}, limit_s=PROBE_S, took_s=PROBE_S)


def _make(name, data_centre, layers="0-10", is_leaving=False):
    return SimpleNamespace(
        name=name, data_centre=data_centre, layers=layers, is_leaving=is_leaving
    )


class WitnessTest(unittest.TestCase):
    def test_small_rounds_are_filled_up(self):
        found = [count_witnesses(number) for number in range(1, 6)]
        self.assertEqual(found, [2, 1, 0, 0, 0])
        self.assertEqual(count_witnesses(20, is_repeat=True), 2)

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
        for name, records, barred, count, turn, expected in cases:
            with self.subTest(name):
                found = choose_witnesses(records, barred=barred, count=count, turn=turn)
                self.assertEqual("".join(record.name for record in found), expected)

    def test_doubted_ones_are_asked_only_where_others_are_too_few(self):
        records = [_make(n, "north") for n in "abc"] + [_make(n, "south") for n in "de"]
        cases = [
            # doubted, barred, count, expected
            ("ad", "", 2, "be"),
            ("abcd", "", 2, "ea"),
            ("abcde", "", 2, "ad"),
            ("abc", "de", 3, "abc"),
        ]
        for doubted, barred, count, expected in cases:
            with self.subTest(doubted=doubted, barred=barred):
                found = choose_witnesses(
                    records, barred=barred, doubted=doubted, count=count, turn=0
                )
                self.assertEqual("".join(record.name for record in found), expected)
