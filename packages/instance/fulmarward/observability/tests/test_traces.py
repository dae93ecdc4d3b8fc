import logging
import unittest

from fulmarward.observability import TraceHandler
from fulmarward.observability._traces import MAX_LINES_PER_REQUEST, MAX_REQUESTS


def _make_record(request, **fields):
    values = {"msg": "routing_decided", "created": 1.5, "request": request, **fields}
    return logging.makeLogRecord(values)


class TraceHandlerTest(unittest.TestCase):
    def test_lines_of_a_request_are_kept_with_their_fields(self):
        traces = TraceHandler()
        traces.emit(_make_record("r1", chosen="e1", reason="lower_score"))
        traces.emit(_make_record("r2", chosen="e2"))
        expected = {
            "at": 1.5,
            "event": "routing_decided",
            "request": "r1",
            "chosen": "e1",
            "reason": "lower_score",
        }
        self.assertEqual(traces.read_lines("r1"), [expected])
        self.assertEqual(traces.read_lines("r3"), [])

    def test_memory_is_bounded(self):
        traces = TraceHandler()
        for number in range(MAX_REQUESTS + 10):
            traces.emit(_make_record(f"r{number}"))
        for _ in range(MAX_LINES_PER_REQUEST + 10):
            traces.emit(_make_record("last"))
        self.assertEqual(traces.read_lines("r0"), [])
        self.assertEqual(len(traces.read_lines("last")), MAX_LINES_PER_REQUEST)
