"""Tests the parsers with every field or settings key made invalid.

In addition to the tables of single errors, these tests invalidate every value,
one by one and all at once, and pass random input to the parsers.
"""

import configparser
import copy
import io
import json
import pathlib
import unittest
from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings as hypothesis_settings, strategies

from beryllug.parsing import document, settings, settings_rules

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
ROLES = ('entry', 'control')
HUGE = 10**30
INVALID_VALUES: tuple[Any, ...] = (
    *(None, [], {}, -1, 0.5, True),
    *('a b', '\u0000', '\ud800', HUGE, [[1]]),
)
PathSteps = tuple[str | int, ...]

fuzz_settings = hypothesis_settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)


def _leaf_paths(node: Any, steps: PathSteps = ()) -> Iterator[PathSteps]:
    """Yield the path of each value that is neither an object nor a list."""
    children: Any = ()
    if isinstance(node, dict):
        children = node.items()
    elif isinstance(node, list):
        children = enumerate(node)
    else:
        yield steps
    for step, child in children:
        yield from _leaf_paths(child, (*steps, step))


def _object_paths(node: Any, steps: PathSteps = ()) -> Iterator[PathSteps]:
    """Yield the path of each object."""
    if isinstance(node, dict):
        yield steps
    children = node.items() if isinstance(node, dict) else enumerate(node)
    for step, child in children:
        if isinstance(child, dict | list):
            yield from _object_paths(child, (*steps, step))


def _format_path(steps: PathSteps) -> str:
    path = ''.join(
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in steps
    )
    return path.removeprefix('.')


def _value_at(edited: Any, steps: PathSteps) -> Any:
    for step in steps:
        edited = edited[step]
    return edited


def _parse(edited: Any) -> tuple[Any, list[str]]:
    parsed, findings = document.parse(json.dumps(edited), 'd')
    return parsed, [item.path for item in findings]


class BrokenDocumentTest(unittest.TestCase):
    """Invalid values at every path of a document."""

    def setUp(self) -> None:
        self.valid = json.loads(TEXT)

    def test_each_value(self) -> None:
        """A value of another type is either valid or rejected with its path."""
        for steps in _leaf_paths(self.valid):
            for replacement in INVALID_VALUES:
                with self.subTest(
                    path=_format_path(steps), replacement=replacement
                ):
                    self._check_replaced(steps, replacement)

    def test_each_field_missing(self) -> None:
        """A missing field has a default or is reported with its path."""
        fields = [
            leaf
            for leaf in _leaf_paths(self.valid)
            if isinstance(leaf[-1], str)
        ]
        for field in fields:
            edited = copy.deepcopy(self.valid)
            _value_at(edited, field[:-1]).pop(field[-1])
            parsed, paths = _parse(edited)
            with self.subTest(_format_path(field)):
                self.assertTrue(parsed or _format_path(field) in paths)

    def test_unknown_field_in_each_object(self) -> None:
        """An unknown field is rejected in every object."""
        for steps in _object_paths(self.valid):
            edited = copy.deepcopy(self.valid)
            _value_at(edited, steps)['surplus'] = 1
            with self.subTest(_format_path(steps)):
                parsed, paths = _parse(edited)
                self.assertIsNone(parsed)
                self.assertEqual(paths, [_format_path((*steps, 'surplus'))])

    def test_all_at_once(self) -> None:
        """If every value is invalid, all paths are reported at once."""
        edited = copy.deepcopy(self.valid)
        leaf_paths = list(_leaf_paths(self.valid))
        for steps in leaf_paths:
            _value_at(edited, steps[:-1])[steps[-1]] = None
        _, paths = _parse(edited)
        self.assertLessEqual(set(map(_format_path, leaf_paths)), set(paths))

    @fuzz_settings
    @given(strategies.binary() | strategies.text())
    def test_noise(self, text: str | bytes) -> None:
        """Noise is refused and never raises."""
        parsed, findings = document.parse(text, 'd')
        self.assertNotEqual(parsed is None, not findings)

    @fuzz_settings
    @given(strategies.integers(0, len(TEXT)), strategies.text(max_size=3))
    def test_damage(self, offset: int, text: str) -> None:
        """A corrupted document is accepted or rejected, and never raises."""
        damaged = f'{TEXT[:offset]}{text}{TEXT[offset + len(text) :]}'
        parsed, findings = document.parse(damaged, 'd')
        self.assertNotEqual(parsed is None, not findings)

    def _check_replaced(self, steps: PathSteps, replacement: Any) -> None:
        edited = copy.deepcopy(self.valid)
        _value_at(edited, steps[:-1])[steps[-1]] = replacement
        parsed, paths = _parse(edited)
        if replacement is None:
            self.assertIn(_format_path(steps), paths)
        if parsed is None:
            own = _format_path(steps)
            self.assertTrue(
                any(path.startswith(own) for path in paths)
                or paths == ['document'],
                paths,
            )


class BrokenSettingsTest(unittest.TestCase):
    """Invalid values of every settings key of both roles."""

    def test_all_at_once(self) -> None:
        """If every key is invalid, all keys are reported at once."""
        for role in ROLES:
            ini = self._read_example(role)
            expected = set()
            for section in ini.sections():
                for key in settings_rules.RECORDS[section]._fields:
                    expected.add(f'{section}.{key}')
                    ini[section][key] = '?'
            ini['process']['role'] = role
            expected.remove('process.role')
            with self.subTest(role):
                parsed, findings = settings.parse(self._to_text(ini), 'f')
                self.assertIsNone(parsed)
                found = {item.path for item in findings}
                self.assertEqual(found, expected)

    def test_each_required_missing(self) -> None:
        """A missing key without a default is reported."""
        for role in ROLES:
            example = self._read_example(role)
            for section in example.sections():
                for key in example[section]:
                    self._check_key_missing(role, section, key)

    @fuzz_settings
    @given(strategies.text())
    def test_noise(self, text: str) -> None:
        """Noise is refused and never raises."""
        self.assertTrue(settings.parse(text, 'f')[1])

    def _check_key_missing(self, role: str, section: str, key: str) -> None:
        ini = self._read_example(role)
        ini.remove_option(section, key)
        _, findings = settings.parse(self._to_text(ini), 'f')
        paths = [item.path for item in findings]
        with self.subTest(role=role, section=section, key=key):
            self.assertIn(f'{section}.{key}', paths)

    def _read_example(self, role: str) -> configparser.RawConfigParser:
        ini = configparser.RawConfigParser()
        ini.read_string((EXAMPLES / f'{role}.ini').read_text())
        return ini

    def _to_text(self, ini: configparser.RawConfigParser) -> str:
        out = io.StringIO()
        ini.write(out)
        return out.getvalue()


if __name__ == '__main__':
    unittest.main()
