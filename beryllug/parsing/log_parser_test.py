"""Tests of parsing log lines and of grouping the lost requests."""

import unittest

from beryllug.core import losses
from beryllug.core.placement import escalation
from beryllug.parsing import log_parser

TEXT = (
    """
 0.1 edge-1 {"t":1.1,"event":"start","process":"edge-1","zone":"a"}
 no JSON, and a line of another kind:
 1.5 edge-1 {"t":2.0,"event":"table_taken","version":3}
 1.5 edge-1 {"t":2.0,"event":"attempt","id":"r1","server":"s1@7","came":"500"}
 1.5 edge-1 {"t":2.1,"event":"answered","id":"r1","status":500,"route":"chat"}
 1.6 edge-1 {"t":2.2,"event":"refused","id":"r2","status":503,"reason":"why"}
 1.7 edge-1 {"t":2.3,"event":"answered","id":"r3","status":200,"route":"chat"}
 1.8 edge-1 {"t":2.4,"event":"answered","status":200,"route":"tag","late":true}
 1.9 edge-1 {"t":2.4,"event":"cut_off","id":"r5","route":"chat","reason":"x"}
 1.9 edge-1 {"t":3.6,"event":"answered","status":200,"route":"tag",
 1.9 edge-1 {"t":3.6,"event":"answered","status":200,"route":"tag","why":"%s"}
"""
    % escalation.SizeReason.NO_REPEAT.value
)
REASONS = (
    ('chat', 's1@7', 'failed 500'),
    ('', losses.NO_SERVER, 'refused 503: why'),
    ('chat', losses.NO_SERVER, losses.SERVED),
    ('tag', losses.NO_SERVER, losses.LATE),
    ('chat', losses.NO_SERVER, 'cut_off: x'),
    (
        'tag',
        losses.NO_SERVER,
        f'unsure: {escalation.SizeReason.NO_REPEAT.value}',
    ),
)
GROUPS = (
    (('route',), [('chat', 2, 3), ('tag', 2, 2), ('', 1, 1)]),
    (('second', 'zone'), [('2', 'a', 4, 5), ('4', 'a', 1, 1)]),
)


class LossesTest(unittest.TestCase):
    """Log lines of one process, some of which can't be decoded."""

    def setUp(self) -> None:
        lines = log_parser.read(TEXT.splitlines())
        self.ended = losses.ended_requests(lines)

    def test_reasons(self) -> None:
        """Each request has one result, with its last server and a reason."""
        found = tuple(
            (request.route, request.server, request.reason)
            for request in self.ended
        )
        self.assertEqual(found, REASONS)

    def test_groups(self) -> None:
        """Groups count lost and all requests; most lost requests come first."""
        for by, expected in GROUPS:
            with self.subTest(by):
                found = losses.group(self.ended, by)
                rows = [
                    (*loss_group.key, loss_group.lost, loss_group.all)
                    for loss_group in found
                ]
                self.assertEqual(rows, expected)


if __name__ == '__main__':
    unittest.main()
