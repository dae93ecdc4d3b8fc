import unittest

from hypothesis import given, strategies as st

from fulmarward_core.streams import (
    Locator,
    Stage,
    make_event_id,
    open_locator,
    seal_locator,
    split_event_id,
)

_SECRET = b"secret"
_LOCATOR = Locator(
    request="r1",
    attempt=2,
    stages=(
        Stage(target="t1", layers=(0, 12)),
        Stage(target="t2", layers=(12, 24)),
    ),
    pipeline="lookup",
    epoch=7,
    deadline_at=12.5,
)


class LocatorTest(unittest.TestCase):
    def test_sealed_locator_opens_for_its_team_alone(self):
        sealed = seal_locator(_LOCATOR, team="folha", secret=_SECRET)
        opened = open_locator(sealed, team="folha", secret=_SECRET)
        self.assertEqual(opened, _LOCATOR)
        self.assertIsNone(open_locator(sealed, team="istat", secret=_SECRET))
        self.assertIsNone(open_locator(sealed, team="folha", secret=b"other"))

    @given(st.integers(min_value=0), st.characters(codec="ascii"))
    def test_changed_locator_does_not_open(self, place, letter):
        sealed = seal_locator(_LOCATOR, team="folha", secret=_SECRET)
        place %= len(sealed)
        changed = sealed[:place] + letter + sealed[place + 1 :]
        opened = open_locator(changed, team="folha", secret=_SECRET)
        # The last letter of base64 has unused bits, so another letter may stand
        # for the same bytes: what opens is the locator itself or nothing.
        self.assertIn(opened, (None, _LOCATOR))

    @given(st.text())
    def test_any_text_is_refused_without_an_error(self, text):
        self.assertIsNone(open_locator(text, team="folha", secret=_SECRET))

    def test_event_ids_are_split(self):
        cases = [
            (make_event_id("abc", 4), ("abc", 4)),
            ("abc", None),
            (".4", None),
            ("abc.", None),
            ("abc.-1", None),
            ("abc.99999999999", None),
        ]
        for event_id, expected in cases:
            with self.subTest(event_id=event_id):
                self.assertEqual(split_event_id(event_id), expected)
