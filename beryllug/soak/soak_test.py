"""The soak in CI: two seeds, those that ever failed, and its own size."""

import asyncio
import unittest
from pathlib import Path

from beryllug.soak import plan, run

PACKAGE = Path(__file__).resolve().parents[1]
SEEDS = (1, 2)
# Seeds that have failed, each with a line on the cause.
FAILED: tuple[tuple[int, str], ...] = ()
MOST_PART = 0.1


class SoakTest(unittest.TestCase):
    """Real processes under a drawn series of faults."""

    def test_seeds(self) -> None:
        """No promise is broken, and all is well again afterwards."""
        for seed in (*SEEDS, *(seed for seed, _ in FAILED)):
            with self.subTest(seed):
                result = asyncio.run(run.run_seed(seed, plan.Sizes()))
                print(result.line())  # noqa: WPS421
                self.assertEqual(result.breaches, [], result.faults)
                self.assertGreater(result.answered, result.sent / 2)

    def test_drawn(self) -> None:
        """A seed draws the same faults again; many draw all kinds."""
        sizes = plan.Sizes()
        self.assertEqual(plan.draw(7, sizes), plan.draw(7, sizes))
        kinds = {
            fault.kind for seed in range(60) for fault in plan.draw(seed, sizes)
        }
        self.assertEqual(kinds, set(plan.Kind))

    def test_size(self) -> None:
        """The soak stays a small part of the code."""
        soak = _lines(PACKAGE / 'soak')
        self.assertLess(soak, MOST_PART * _lines(PACKAGE))


def _lines(folder: Path) -> int:
    return sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in folder.rglob('*.py')
    )


if __name__ == '__main__':
    unittest.main()
