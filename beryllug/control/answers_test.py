"""Tests of stored answers: complete or absent, and deleted on expiry."""

import unittest

from beryllug.control import answers, fake_platform_test
from beryllug.core import answer_data, answer_name

DAY_S = answer_name.DAY_S
RETENTION_S = 2 * DAY_S
NOW = 20000.5 * DAY_S
SIZES = (0, 1, answers.PART_BYTES, answers.PART_BYTES + 1, 2500000)
AGES: tuple[tuple[float, bool], ...] = (
    (0, True),
    (RETENTION_S / DAY_S, True),
    (RETENTION_S / DAY_S + 1.6, False),
    (RETENTION_S / DAY_S + 3, False),
)


class _Leases:
    def keep_acquiring(self, name: str) -> None:
        """Do nothing."""

    def held(self, name: str, now: float) -> object | None:
        """Return None: the test calls `expire` itself."""


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Tests against an in-memory platform."""

    async def asyncSetUp(self) -> None:
        """Create the platform and the service."""
        store = fake_platform_test.Store()
        self.platform = fake_platform_test.Client(store)
        self.service = answers.Answers(self.platform, _Leases(), RETENTION_S)

    async def test_sizes(self) -> None:
        """An answer of any size is returned unchanged."""
        for size in SIZES:
            with self.subTest(size):
                body = bytes(number % 251 for number in range(size))
                name = answer_name.make(f'r{size}', NOW)
                stored = await self.service.store(
                    answer_data.AnswerBody(name, body)
                )
                self.assertTrue(stored.ok)
                found = await self.service.fetch(answer_data.AnswerKey(name))
                self.assertEqual(found.found, size > 0)
                self.assertEqual(found.body, body)

    async def test_half_written(self) -> None:
        """The platform becomes unavailable between writes of two parts.

        A partial answer is not found; storing it again completes it.
        """
        body = bytes(2 * answers.PART_BYTES)
        request = answer_data.AnswerBody(answer_name.make('r', NOW), body)
        self.platform.fault_prefix = (
            f'{answers.PREFIX}{request.name}/{answers.FIRST_PART}'
        )
        self.platform.faults.append(fake_platform_test.Fault.REFUSED)
        self.assertFalse((await self.service.store(request)).ok)
        key = answer_data.AnswerKey(request.name)
        self.assertFalse((await self.service.fetch(key)).found)
        self.assertTrue((await self.service.store(request)).ok)
        self.assertEqual((await self.service.fetch(key)).body, body)

    async def test_expiry(self) -> None:
        """Answers are kept for the retention and deleted afterwards."""
        for age, _ in AGES:
            name = answer_name.make(f'r{age}', NOW - age * DAY_S)
            await self.service.store(answer_data.AnswerBody(name, b'answer'))
        await self.service.expire(NOW)
        for age, is_kept in AGES:
            with self.subTest(age=age):
                name = answer_name.make(f'r{age}', NOW - age * DAY_S)
                found = await self.service.fetch(answer_data.AnswerKey(name))
                self.assertEqual(found.found, is_kept)


if __name__ == '__main__':
    unittest.main()
