"""Runs the soak in CI: two seeds and past failures; checks its size."""

import asyncio
import unittest
from pathlib import Path

from beryllug.soak import plan, run

PACKAGE = Path(__file__).resolve().parents[1]
SEEDS = (1, 2)
# Seeds that have failed, each with its cause.
FAILED_SEEDS: tuple[tuple[int, str], ...] = (
    (1032, 'a bad version got the requests of old servers that had crashed'),
    (21, 'a segment late in a long prompt crashed server after server'),
    (13, 'streams ended as complete when their relay was killed'),
    (81015, 'comments of a server that broke off came between events'),
)
MAX_CODE_FRACTION = 0.1


class SoakTest(unittest.TestCase):
    """Real processes under a random series of faults."""

    def test_seeds(self) -> None:
        """All guarantees hold, and the site recovers afterwards."""
        for seed in (*SEEDS, *(seed for seed, _ in FAILED_SEEDS)):
            with self.subTest(seed):
                result = asyncio.run(run.run_seed(seed, plan.Sizes()))
                print(result.line())  # noqa: WPS421
                self.assertEqual(result.violations, [], result.faults)
                self.assertGreater(result.answered, result.sent / 2)

    def test_drawn(self) -> None:
        """A seed determines its faults; many seeds cover all kinds."""
        sizes = plan.Sizes()
        self.assertEqual(plan.draw(7, sizes), plan.draw(7, sizes))
        kinds = {
            fault.kind for seed in range(60) for fault in plan.draw(seed, sizes)
        }
        self.assertEqual(kinds, set(plan.Kind))
        zone_cuts = [plan.draw_zone_cut(seed) for seed in range(60)]
        self.assertIn(None, zone_cuts)
        self.assertEqual(
            {cut.kind for cut in zone_cuts if cut}, plan.SERVER_LINK_FAULTS
        )
        endless = [plan.draw_endless(seed, sizes) for seed in range(60)]
        self.assertIn(None, endless)
        self.assertEqual(
            {each.form for each in endless if each}, set(plan.ENDLESS_FORMS)
        )
        cutting = [plan.draw_cutting(seed, sizes) for seed in range(60)]
        self.assertIn(None, cutting)
        self.assertEqual(
            {each.size for each in cutting if each}, set(plan.CUTTING_BYTES)
        )
        relay_losses = [plan.draw_relay_loss(seed, sizes) for seed in range(60)]
        self.assertIn(None, relay_losses)
        self.assertTrue(any(relay_losses))
        raised_limits = [plan.draw_raised_limit(seed) for seed in range(60)]
        self.assertIn(None, raised_limits)
        self.assertTrue(any(raised_limits))
        floods = [plan.draw_flood(seed) for seed in range(60)]
        self.assertIn(None, floods)
        self.assertTrue(any(floods))
        crash_requests = [plan.draw_crash_request(seed) for seed in range(60)]
        self.assertIn(None, crash_requests)
        self.assertTrue(any(crash_requests))
        kinds_of_crash = {plan.has_crash_segment(seed) for seed in range(60)}
        self.assertEqual(kinds_of_crash, {True, False})

    def test_size(self) -> None:
        """The soak stays under a tenth of the code."""
        soak_lines = _count_lines(PACKAGE / 'soak')
        self.assertLess(soak_lines, MAX_CODE_FRACTION * _count_lines(PACKAGE))


def _count_lines(folder: Path) -> int:
    return sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in folder.rglob('*.py')
    )


if __name__ == '__main__':
    unittest.main()
