import unittest

from fulmarward_core.checks import (
    Field,
    describe_faults,
    parse_json,
    read_address,
    read_boolean,
    read_integer,
    read_list_of,
    read_record,
    read_string,
)

_READ = read_record(
    dict,
    {
        "name": Field(read=read_string()),
        "count": Field(read=read_integer(least=1, most=5)),
        "at": Field(read=read_address(), default="127.0.0.1:1"),
        "flags": Field(read=read_list_of(read_boolean()), default=()),
    },
)


class ReadRecordTest(unittest.TestCase):
    def test_valid_value_is_read_with_defaults(self):
        faults = []
        value = _READ({"name": "a", "count": 5}, "", faults)
        self.assertEqual(faults, [])
        self.assertEqual(
            value, {"name": "a", "count": 5, "at": "127.0.0.1:1", "flags": ()}
        )

    def test_every_fault_is_reported_with_its_path(self):
        cases = [
            ([], ": expected an object, found []"),
            (
                {"name": "", "count": 9},
                'name: expected a text, found ""\n'
                "count: expected a whole number from 1 to 5, found 9",
            ),
            (
                {"name": "a", "count": True},
                "count: expected a whole number from 1 to 5, found true",
            ),
            ({"name": "a"}, "count: expected a value, found nothing"),
            (
                {"name": "a", "count": 1, "extra": 0},
                "extra: expected no member but name, count, at, flags, "
                "found an unknown member",
            ),
            (
                {"name": "a", "count": 1, "at": "localhost:80"},
                'at: expected an address IP:PORT, found "localhost:80"',
            ),
            (
                {"name": "a", "count": 1, "flags": [True, 1]},
                "flags[1]: expected true or false, found 1",
            ),
        ]
        for value, expected in cases:
            with self.subTest(value=value):
                faults = []
                self.assertIsNone(_READ(value, "", faults))
                self.assertEqual(describe_faults(faults), expected)

    def test_invalid_json_is_a_fault(self):
        for text in ("", "{", "[" * 100_000):
            with self.subTest(text=text[:5]):
                faults = []
                self.assertIsNone(parse_json(text, "file", faults))
                self.assertEqual(faults[0].expected, "valid JSON")
