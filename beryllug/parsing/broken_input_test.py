"""Every field of a document and every key of the settings, broken.

Beside the tables of single mistakes these tests break each place there is,
one by one and all at once, and feed the parsers with noise.
"""

import configparser
import copy
import io
import json
import pathlib
import unittest
from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings as fuzz, strategies

from beryllug.parsing import document, settings, settings_rules

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
ROLES = ('entry', 'control')
HUGE = 10**30
NOISE: tuple[Any, ...] = (
    *(None, [], {}, -1, 0.5, True),
    *('a b', '\u0000', '\ud800', HUGE, [[1]]),
)
Steps = tuple[str | int, ...]

quickly = fuzz(max_examples=60, deadline=None, derandomize=True, database=None)


def _leaves(inner: Any, steps: Steps = ()) -> Iterator[Steps]:
    """Yield the place of each value that is no object and no list."""
    children: Any = ()
    if isinstance(inner, dict):
        children = inner.items()
    elif isinstance(inner, list):
        children = enumerate(inner)
    else:
        yield steps
    for step, child in children:
        yield from _leaves(child, (*steps, step))


def _maps(inner: Any, steps: Steps = ()) -> Iterator[Steps]:
    """Yield the place of each object."""
    if isinstance(inner, dict):
        yield steps
    children = inner.items() if isinstance(inner, dict) else enumerate(inner)
    for step, child in children:
        if isinstance(child, dict | list):
            yield from _maps(child, (*steps, step))


def _path(steps: Steps) -> str:
    path = ''.join(
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in steps
    )
    return path.removeprefix('.')


def _at(whole: Any, steps: Steps) -> Any:
    for step in steps:
        whole = whole[step]
    return whole


def _judged(whole: Any) -> tuple[Any, list[str]]:
    parsed, findings = document.parse(json.dumps(whole), 'd')
    return parsed, [item.path for item in findings]


class BrokenDocumentTest(unittest.TestCase):
    """Each place of a document."""

    def setUp(self) -> None:
        self.sound = json.loads(TEXT)

    def test_each_value(self) -> None:
        """A value of another type is refused at its place, or is valid."""
        for steps in _leaves(self.sound):
            for noise in NOISE:
                with self.subTest(path=_path(steps), noise=noise):
                    self._put_noise(steps, noise)

    def test_each_field_missing(self) -> None:
        """A missing field has a default or is named."""
        fields = [
            place for place in _leaves(self.sound) if isinstance(place[-1], str)
        ]
        for field in fields:
            whole = copy.deepcopy(self.sound)
            _at(whole, field[:-1]).pop(field[-1])
            parsed, paths = _judged(whole)
            with self.subTest(_path(field)):
                self.assertTrue(parsed or _path(field) in paths)

    def test_each_object_with_more(self) -> None:
        """An unknown field is refused in every object."""
        for steps in _maps(self.sound):
            whole = copy.deepcopy(self.sound)
            _at(whole, steps)['surplus'] = 1
            with self.subTest(_path(steps)):
                parsed, paths = _judged(whole)
                self.assertIsNone(parsed)
                self.assertEqual(paths, [_path((*steps, 'surplus'))])

    def test_all_at_once(self) -> None:
        """With every value broken, every place is reported in one go."""
        whole = copy.deepcopy(self.sound)
        places = list(_leaves(self.sound))
        for steps in places:
            _at(whole, steps[:-1])[steps[-1]] = None
        _, paths = _judged(whole)
        self.assertLessEqual(set(map(_path, places)), set(paths))

    @quickly
    @given(strategies.binary() | strategies.text())
    def test_noise(self, text: str | bytes) -> None:
        """Noise is refused and never raises."""
        parsed, findings = document.parse(text, 'd')
        self.assertNotEqual(parsed is None, not findings)

    @quickly
    @given(strategies.integers(0, len(TEXT)), strategies.text(max_size=3))
    def test_damage(self, place: int, text: str) -> None:
        """A damaged document is accepted whole or refused, never raises."""
        damaged = f'{TEXT[:place]}{text}{TEXT[place + len(text) :]}'
        parsed, findings = document.parse(damaged, 'd')
        self.assertNotEqual(parsed is None, not findings)

    def _put_noise(self, steps: Steps, noise: Any) -> None:
        whole = copy.deepcopy(self.sound)
        _at(whole, steps[:-1])[steps[-1]] = noise
        parsed, paths = _judged(whole)
        if noise is None:
            self.assertIn(_path(steps), paths)
        if parsed is None:
            own = _path(steps)
            self.assertTrue(
                any(path.startswith(own) for path in paths)
                or paths == ['document'],
                paths,
            )


class BrokenSettingsTest(unittest.TestCase):
    """Each key of both roles."""

    def test_all_at_once(self) -> None:
        """With every key broken, every key is reported in one go."""
        for role in ROLES:
            ini = self._read(role)
            expected = set()
            for section in ini.sections():
                for key in settings_rules.RECORDS[section]._fields:
                    expected.add(f'{section}.{key}')
                    ini[section][key] = '?'
            ini['process']['role'] = role
            expected.remove('process.role')
            with self.subTest(role):
                parsed, findings = settings.parse(self._text(ini), 'f')
                self.assertIsNone(parsed)
                found = {item.path for item in findings}
                self.assertEqual(found, expected)

    def test_each_required_missing(self) -> None:
        """A key without a default is named when it is missing."""
        for role in ROLES:
            whole = self._read(role)
            for section in whole.sections():
                for key in whole[section]:
                    self._leave_out(role, section, key)

    @quickly
    @given(strategies.text())
    def test_noise(self, text: str) -> None:
        """Noise is refused and never raises."""
        self.assertTrue(settings.parse(text, 'f')[1])

    def _leave_out(self, role: str, section: str, key: str) -> None:
        ini = self._read(role)
        ini.remove_option(section, key)
        _, findings = settings.parse(self._text(ini), 'f')
        paths = [item.path for item in findings]
        with self.subTest(role=role, section=section, key=key):
            self.assertIn(f'{section}.{key}', paths)

    def _read(self, role: str) -> configparser.RawConfigParser:
        ini = configparser.RawConfigParser()
        ini.read_string((EXAMPLES / f'{role}.ini').read_text())
        return ini

    def _text(self, ini: configparser.RawConfigParser) -> str:
        out = io.StringIO()
        ini.write(out)
        return out.getvalue()


if __name__ == '__main__':
    unittest.main()
