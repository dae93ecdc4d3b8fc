import unittest

from hypothesis import given, strategies as st

from fulmarward_core.keys import (
    CallerKey,
    IssuedKey,
    KeyPrefix,
    open_key,
    seal_prefix,
)
from fulmarward_core.membership import Incarnation

_OLD, _NEW = b"old-secret", b"new-secret"
_INCARNATIONS = st.builds(Incarnation, name=st.text(min_size=1, max_size=20))

_PREFIXES = st.builds(
    KeyPrefix,
    home=_INCARNATIONS,
    witness=st.none() | _INCARNATIONS,
    expires_at=st.floats(allow_nan=False),
)


def _seal(team="folha", secret=_OLD):
    prefix = KeyPrefix(
        home=Incarnation(name="i1", boot=5), witness=None, expires_at=9.0
    )
    return seal_prefix(prefix, team=team, secret=secret)


class OpenKeyTest(unittest.TestCase):
    @given(_PREFIXES)
    def test_prefix_opens_only_for_its_team(self, prefix):
        sealed = seal_prefix(prefix, team="folha", secret=_OLD)
        key = sealed + "suffix"
        if len(key) > 400:
            return
        self.assertEqual(
            open_key(key, team="folha", secrets=[_NEW, _OLD]),
            IssuedKey(text=key, prefix=prefix),
        )
        self.assertIsNone(open_key(key, team="other", secrets=[_OLD]))
        self.assertIsNone(open_key(key, team="folha", secrets=[_NEW]))

    @given(st.text(max_size=40))
    def test_any_text_is_parsed_without_an_error(self, text):
        for key in (text, f"fk1.{text}", f"{_seal()}{text}", f"fk1.{text}.a"):
            open_key(key, team="folha", secrets=[_OLD])

    def test_kinds_of_keys(self):
        cases = [
            (_seal() + "move-7", IssuedKey),
            (_seal(), type(None)),
            (_seal() + ".move-7", IssuedKey),
            (_seal()[:-1], type(None)),
            (_seal() + "a" * 500, type(None)),
            (_seal(team="other") + "a", type(None)),
            ("my-own-key", CallerKey),
            ("", type(None)),
            ("two words", type(None)),
            ("a" * 256, type(None)),
        ]
        for text, expected in cases:
            with self.subTest(text=text):
                key = open_key(text, team="folha", secrets=[_OLD])
                self.assertIs(type(key), expected)
