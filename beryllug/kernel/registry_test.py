"""Tests of the service registry."""

import unittest
from typing import Any

from beryllug.kernel import registry


class _Recorder:
    def __init__(self, name: str, events: list[str], fails: bool) -> None:
        self._name = name
        self._events = events
        self._fails = fails

    async def start(self) -> None:
        if self._fails:
            raise OSError('port is taken')
        self._events.append(f'start {self._name}')

    async def stop(self, grace_s: float) -> None:
        self._events.append(f'stop {self._name}')

    def dump(self) -> dict[str, Any]:
        return {'name': self._name}


CASES: tuple[tuple[str, tuple[bool, ...], list[str]], ...] = (
    ('all start', (False, False), ['start 0', 'start 1', 'stop 1', 'stop 0']),
    ('second fails', (False, True), ['start 0', 'stop 0']),
    ('first fails', (True, False), []),
)


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    """Order of starts and stops, and lookup by name."""

    async def test_order(self) -> None:
        """Services stop in reverse order, and only those that started."""
        for title, fails, expected in CASES:
            with self.subTest(title):
                self.assertEqual(await self._run(fails), expected)

    async def test_find(self) -> None:
        """A lookup checks name and type."""
        services = registry.Registry()
        services.register('one', _Recorder('one', [], fails=False))
        self.assertEqual(services.find('one', _Recorder).dump()['name'], 'one')
        for name, kind in (('two', _Recorder), ('one', str)):
            with self.subTest(name), self.assertRaises(LookupError):
                services.find(name, kind)

    async def _run(self, fails: tuple[bool, ...]) -> list[str]:
        events: list[str] = []
        services = registry.Registry()
        for index, failing in enumerate(fails):
            services.register(
                str(index), _Recorder(str(index), events, failing)
            )
        try:
            await services.start()
        except OSError:
            return events
        await services.stop(0)
        return events


if __name__ == '__main__':
    unittest.main()
