import unittest

from fulmarward_core.keys import (
    AttemptPlace,
    ClaimDecision,
    Conclusion,
    KeyTable,
    RecordState,
    RecordStep,
    RecordVerdict,
    ResultCopy,
    WitnessRecord,
    WitnessTable,
    claim_key,
    conclude_closing,
    conclude_takeover,
    end_key,
    record_attempt,
    take_over_key,
    update_record,
)
from fulmarward_core.keys.decisions._ages import MAX_ENTRIES, RETAIN_S
from fulmarward_core.results import ResultCode, make_failure

_STREAM = AttemptPlace(attempt=1, target="e1", address="e1", has_stream=True)
_CALL = AttemptPlace(attempt=1, target="s1", address="s1", has_stream=False)


def _claim(table, key="k", body_hash="b", expires_at=100.0, now=0.0):
    claim, entry = claim_key(
        table, key, body_hash=body_hash, expires_at=expires_at, now=now
    )
    if claim is ClaimDecision.START:
        entry.answer = "answer"
    return claim


def _record(table, request="r", place=_STREAM, now=0.0, body_hash="b"):
    return record_attempt(
        table,
        "k",
        body_hash=body_hash,
        request=request,
        place=place,
        expires_at=100.0,
        now=now,
        steady_now=now,
    )


def _take(table, now=0.0):
    return take_over_key(table, "k", body_hash="b", expires_at=100.0, now=now)


def _end(table, key="k", now=0.0, size=10, failure=None):
    end_key(table, key, failure=failure, size=size, keep_s=30.0, now=now)


class HomeTest(unittest.TestCase):
    def test_claims_over_the_lifetime_of_a_key(self):
        table = KeyTable()
        self.assertEqual(_claim(table), ClaimDecision.START)
        self.assertEqual(_claim(table), ClaimDecision.ATTACH)
        self.assertEqual(_claim(table, body_hash="other"), ClaimDecision.OTHER_BODY)
        _end(table, now=50.0)
        self.assertEqual(_claim(table, now=80.0), ClaimDecision.ATTACH)
        self.assertEqual(_claim(table, now=81.0), ClaimDecision.REPORT_OUTCOME)
        self.assertEqual(table.entries["k"].outcome.code, ResultCode.ALREADY_RAN)
        self.assertEqual(_claim(table, now=159.0), ClaimDecision.REPORT_OUTCOME)
        self.assertEqual(_claim(table, now=161.0), ClaimDecision.TOO_OLD)

    def test_no_request_starts_after_the_key_expires(self):
        table = KeyTable()
        self.assertEqual(_claim(table, now=101.0), ClaimDecision.EXPIRED)
        self.assertEqual(_claim(table, now=50.0), ClaimDecision.EXPIRED)
        self.assertEqual(_claim(table, now=100.1 + RETAIN_S), ClaimDecision.TOO_OLD)

    def test_entry_of_a_running_request_is_never_removed(self):
        table = KeyTable()
        _claim(table)
        for number in range(10):
            _claim(table, key=f"later{number}", expires_at=10_000.0, now=9_000.0)
        self.assertEqual(_claim(table, now=9_001.0), ClaimDecision.ATTACH)
        _end(table, now=9_002.0)
        self.assertEqual(_claim(table, now=9_050.0), ClaimDecision.REPORT_OUTCOME)

    def test_full_table_refuses_new_keys(self):
        table = KeyTable()
        for number in range(MAX_ENTRIES):
            _claim(table, key=str(number))
        self.assertEqual(_claim(table, key="one more"), ClaimDecision.FULL)
        self.assertEqual(_claim(table, key="7"), ClaimDecision.ATTACH)

    def test_total_size_of_stored_answers_is_limited(self):
        table = KeyTable()
        for key in "abc":
            _claim(table, key=key)
            _end(table, key=key, size=15_000_000)
        claims = [_claim(table, key=key) for key in "abc"]
        self.assertEqual(
            claims,
            [ClaimDecision.REPORT_OUTCOME, ClaimDecision.ATTACH, ClaimDecision.ATTACH],
        )


class WitnessTest(unittest.TestCase):
    def test_verdicts_on_attempts(self):
        second = AttemptPlace(attempt=2, target="e2", address="e2", has_stream=True)
        table = WitnessTable()
        self.assertEqual(_record(table), RecordVerdict.ACCEPTED)
        self.assertEqual(_record(table), RecordVerdict.ACCEPTED)
        self.assertEqual(_record(table, place=second), RecordVerdict.ACCEPTED)
        self.assertEqual(_record(table, request="another"), RecordVerdict.UNKNOWN)
        self.assertEqual(_record(table, body_hash="another"), RecordVerdict.UNKNOWN)
        self.assertEqual(table.records["k"].places, (_STREAM, second))
        self.assertEqual(_record(WitnessTable(), now=101.0), RecordVerdict.CLOSED)
        update_record(table, "k", RecordStep.BEGIN, now=0.0)
        self.assertEqual(_record(table), RecordVerdict.UNKNOWN)

    def test_paused_home_is_refused_after_a_takeover(self):
        # The home asks for a record and is paused while its key is taken over. If the
        # witness accepted it afterwards, the request would run although its caller was
        # told "not run" and has sent it again with a new key.
        table = WitnessTable()
        _record(table)
        self.assertEqual(_take(table).state, RecordState.TAKEN)
        self.assertEqual(_record(table), RecordVerdict.CLOSED)
        self.assertTrue(update_record(table, "k", RecordStep.CLOSE, now=0.0))
        self.assertEqual(_record(table), RecordVerdict.CLOSED)
        closed = WitnessTable()
        self.assertEqual(_take(closed).state, RecordState.CLOSED)
        self.assertEqual(_record(closed), RecordVerdict.CLOSED)

    def test_removed_record_proves_nothing(self):
        table = WitnessTable()
        _record(table)
        self.assertEqual(_take(table, now=159.0).state, RecordState.TAKEN)
        self.assertIsNone(_take(table, now=161.0))
        self.assertIsNone(_take(table, now=0.0))

    def test_refused_request_is_closed(self):
        table = WitnessTable()
        _record(table)
        failure = make_failure(ResultCode.TARGET_REFUSED)
        update_record(table, "k", RecordStep.END, failure=failure, now=0.0)
        self.assertEqual(conclude_takeover(_take(table)), Conclusion.NOT_RUN)

    def test_conclusions(self):
        copy = ResultCopy(status=200, body=b"x", content_type="text/plain")
        failure = make_failure(ResultCode.TARGET_FAILED)
        begin, end = RecordStep.BEGIN, RecordStep.END
        cases = [
            (_STREAM, [], Conclusion.RESUME),
            (_STREAM, [(begin, {})], Conclusion.RESUME),
            (_STREAM, [(begin, {}), (end, {})], Conclusion.RESUME),
            (_STREAM, [(end, {"failure": failure})], Conclusion.FAILED),
            (_CALL, [], Conclusion.UNKNOWN),
            (_CALL, [(end, {"answer": copy, "keep_s": 1.0})], Conclusion.COPY),
            (
                _CALL,
                [(end, {"answer": copy, "keep_s": -1.0})],
                Conclusion.ANSWER_EXPIRED,
            ),
        ]
        for place, steps, expected in cases:
            with self.subTest(place=place, steps=steps):
                table = WitnessTable()
                _record(table, place=place)
                for step, options in steps:
                    update_record(table, "k", step, now=0.0, **options)
                self.assertEqual(conclude_takeover(_take(table)), expected)
        self.assertEqual(conclude_takeover(None), Conclusion.UNKNOWN)

    def test_only_names_closed_before_their_start_prove_that_nothing_ran(self):
        taken, began, ended = RecordState.TAKEN, RecordState.BEGAN, RecordState.ENDED
        closed = "closed_before_start"
        cases = [
            (taken, [closed], ResultCode.KEY_CLOSED),
            (taken, [None], ResultCode.OUTCOME_UNKNOWN),
            (taken, [], ResultCode.OUTCOME_UNKNOWN),
            (taken, ["cancelled"], ResultCode.STREAM_LOST),
            (taken, ["ended"], ResultCode.STREAM_LOST),
            (began, [closed], ResultCode.STREAM_LOST),
            (began, [None], ResultCode.STREAM_LOST),
            (ended, [closed], ResultCode.ALREADY_RAN),
        ]
        for state, replies, expected in cases:
            with self.subTest(state=state, replies=replies):
                record = WitnessRecord(
                    body_hash="b",
                    request="r",
                    state=state,
                    drop_at=0.0,
                    recorded_at=0.0,
                    places=(_STREAM,),
                )
                self.assertEqual(conclude_closing(record, replies), expected)
