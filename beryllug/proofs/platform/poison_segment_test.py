"""Requests that share one prompt segment, which crashes each server."""

import asyncio
import itertools
import time
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase, main

from beryllug.drivers import http_data
from beryllug.proofs.platform import site_test
from beryllug.standins import (
    crashing_servers,
    link_cut,
    platform_site,
)

ROUTERS = 3
SERVERS = 6
OK = 200
# The stated target: servers that are lost until the segment is known, seconds
# from then on, and requests that may reach servers later.
KNOWN_AFTER = 5
STABLE_S = 3.0
MAX_LATE_ARRIVALS = 3
# The stated target for sound requests, from twice that time on.
MIN_SHARE = 0.5
CALM_S = 2.0
DAY_S = 14.0
BAD_INTERVAL_S = 0.5
SOUND_INTERVAL_S = 0.15
RETRY_S = 0.2
RESTART_COUNT = 12
Stage = crashing_servers.Stage


class Row(NamedTuple):
    """A kind of crash, and the prompts before the segment of their own."""

    stage: Stage
    bad: str = 'a1:300,bad0:100'
    sound: str = 'a1:300,c1:100'
    path: str = site_test.DRAFT
    service: str = platform_site.POOL
    entry_s: float | None = 3.6
    turns: int = 5


# Other segments that only the bad requests have cost further servers.
HARD_ROW = Row(Stage.UNSURE_HEAD, bad='a1:300,d{turn}:80,bad0:100,e1:40')
ROWS = (
    Row(Stage.EVENT),
    Row(Stage.NO_HEAD, bad='bad0:300,c1:100'),
    HARD_ROW,
    Row(
        Stage.NO_HEAD,
        bad='a1:300,d{turn}:80,bad0:100,e1:40',
        sound='a1:300,d{turn}:80,e1:40',
    ),
)

# Segments of a long conversation, and as many as a header can hold; ids of
# several conversations differ.
LONG = tuple(f'a{number:02x}:20' for number in range(70))
MOST = tuple(f'a{{turn:x}}{number:03x}:2' for number in range(1700))
# Those of conversations that only bad requests belong to.
OTHERS = tuple(f'c{{turn:x}}{number:03x}:2' for number in range(1700))
BAD = ('bad0:2',)


def _long_row(
    segments: tuple[str, ...], at: int, stage: Stage = Stage.NO_HEAD
) -> Row:
    """Return a row of long prompts, the bad segment in place of another."""
    bad = segments[:at] + BAD + segments[at + 1 :]
    return Row(stage, bad=','.join(bad), sound=','.join(segments), turns=4)


LONG_ROWS = (
    _long_row(LONG, len(LONG) - 1),
    _long_row(MOST, len(MOST) - 1),
    _long_row(MOST, len(MOST) // 2, Stage.EVENT),
    _long_row(MOST, 0),
    Row(
        Stage.NO_HEAD,
        bad=','.join((*OTHERS, *BAD)),
        sound=','.join(LONG),
        turns=16,
    ),
)

OTHER_ROUTES = (
    Row(Stage.NO_HEAD, path=site_test.LOOKUP, service=platform_site.DESK),
    Row(Stage.EVENT, path=site_test.REPORT),
)


class Sent(NamedTuple):
    """The first try of a sound request."""

    at: float
    is_served: bool


class Play:
    """A site that gets bad requests, no two alike, and sound ones."""

    def __init__(self, row: Row) -> None:
        """Create the site; `open` starts it."""
        self.site = platform_site.Site()
        self.servers = crashing_servers.CrashingServers(
            self.site,
            row.service,
            crashing_servers.Crash(row.stage, entry_s=row.entry_s),
            drops_closed=True,
        )
        self.sent: list[Sent] = []
        self._row = row
        self._turns = itertools.count()
        self._began_at = 0.0

    async def open(self) -> None:
        """Start servers and routers."""
        await self.site.open()
        for _ in range(SERVERS):
            await self.servers.add()
        await self.add_routers()

    async def add_routers(self) -> None:
        """Start routers that know one another."""
        routers = [await self.site.add_router() for _ in range(ROUTERS)]
        await asyncio.gather(*map(self.site.until_ready, routers))

    async def close(self) -> None:
        """Stop all."""
        await self.servers.stop()
        await self.site.close()

    async def send(self) -> None:
        """Send sound requests, and after a while bad ones as well."""
        self._began_at = time.monotonic()
        end = self._began_at + CALM_S + DAY_S
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_bad(end))
            while time.monotonic() < end:
                tasks.create_task(self.call(self._row.sound, is_bad=False))
                await asyncio.sleep(SOUND_INTERVAL_S)

    async def call(self, shared: str, *, is_bad: bool) -> None:
        """Send a request as a caller does that tries twice."""
        sent_at = time.monotonic()
        number = next(self._turns)
        prompt = f'{shared},f{number:06x}:60'.format(
            turn=number % self._row.turns
        )
        for attempt in range(2):
            router = self.site.routers[number % len(self.site.routers)]
            status = await self._ask(router, b'body %d' % number, prompt)
            if not attempt and not is_bad:
                self.sent.append(Sent(sent_at, status == OK))
            if status == OK:
                return
            number = next(self._turns)
            await asyncio.sleep(RETRY_S)

    async def ask_sound(self, router: platform_site.Router) -> int:
        """Send a sound request once; returns its status."""
        prompt = self._row.sound.format(turn=0)
        return await self._ask(router, b'body', f'{prompt},f:60')

    async def send_more(self) -> None:
        """Send some more bad requests, to one router after the other."""
        for _ in range(RESTART_COUNT):
            await self.call(self._row.bad, is_bad=True)

    @property
    def late_arrivals(self) -> int:
        """Count of bad requests that came to servers later than allowed."""
        late_at = self._known_at() + STABLE_S
        return sum(at > late_at for at in self.servers.arrivals)

    def first_tries(self) -> tuple[list[Sent], list[Sent]]:
        """Return first tries of sound requests: before, and in the end."""
        known_at = self._known_at()
        bad_at = self._began_at + CALM_S
        before = [each for each in self.sent if each.at < bad_at]
        after = [
            each for each in self.sent if each.at > known_at + 2 * STABLE_S
        ]
        return before, after

    def summary(self) -> str:
        """Return when servers crashed and first tries were sent."""
        crashes = [round(at - self._began_at, 1) for at in self.servers.crashes]
        sent = [round(each.at - self._began_at, 1) for each in self.sent]
        served = sum(each.is_served for each in self.sent)
        return (
            f'crashes at {crashes}, {len(sent)} first tries at {sent}, '
            f'{served} served'
        )

    async def _ask(
        self, router: platform_site.Router, body: bytes, prompt: str
    ) -> int:
        try:
            reply = await self.site.ask(
                router,
                self._row.path,
                'POST',
                body,
                beryllug_prompt_prefix=prompt,
            )
        except (http_data.BrokenError, http_data.NotSentError):
            return 0
        return reply.status

    async def _send_bad(self, end: float) -> None:
        await asyncio.sleep(CALM_S)
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                tasks.create_task(self.call(self._row.bad, is_bad=True))
                await asyncio.sleep(BAD_INTERVAL_S)

    def _known_at(self) -> float:
        """Return the second of the crash from which the segment is known."""
        crashes = self.servers.crashes
        return crashes[min(len(crashes), KNOWN_AFTER) - 1]


class PoisonSegmentTest(IsolatedAsyncioTestCase):
    """The servers that one prompt segment crashes, and the callers beside."""

    async def test_new_requests(self) -> None:
        """Each new request with the segment is sent on as if unknown."""
        await self._play_all(ROWS)

    async def test_long_prompts(self) -> None:
        """A segment late in a long prompt is sent on as if unknown."""
        for row in LONG_ROWS:
            await self._play_all((row,))

    async def test_other_routes(self) -> None:
        """Lookups, or streams that run once, are sent on with the segment."""
        await self._play_all(OTHER_ROUTES)

    async def test_troubles(self) -> None:
        """The store is away, or one router reaches no server directly."""
        away = Play(ROWS[0]._replace(entry_s=None))
        cut = Play(ROWS[0])
        await asyncio.gather(away.open(), cut.open())
        away.site.store_stand_in.put_faults(refuse=True)
        link = cut.site.routers[0].link_cut()
        link.cut(link_cut.Mode.REFUSE)
        await asyncio.gather(away.send(), cut.send())
        await asyncio.gather(away.close(), cut.close())
        self._check([away, cut])

    async def test_restart(self) -> None:
        """Routers that start after all were stopped know no segment."""
        play = Play(HARD_ROW)
        await play.open()
        await play.send()
        old = tuple(play.site.routers)
        await asyncio.gather(*(each.services.stop(0) for each in old))
        play.site.routers.clear()
        await play.add_routers()
        await play.send_more()
        await play.close()
        self.assertLessEqual(play.late_arrivals, MAX_LATE_ARRIVALS)

    async def test_cleared(self) -> None:
        """What was cleared is refused by routers that start after it."""
        play = Play(ROWS[3])
        await play.open()
        await play.send()
        router = await play.site.add_router(seeds=())
        await play.site.until_ready(router)
        status = await play.ask_sound(router)
        await play.close()
        self.assertEqual(status, OK)

    def _check(self, plays: list[Play]) -> None:
        """Check the stated targets."""
        for number, play in enumerate(plays):
            with self.subTest(number):
                seen = play.summary()
                self.assertTrue(play.servers.crashes, seen)
                self.assertLessEqual(
                    play.late_arrivals, MAX_LATE_ARRIVALS, seen
                )
                before, after = play.first_tries()
                self.assertTrue(before, seen)
                self.assertTrue(after, seen)
                self.assertGreaterEqual(
                    _share(after), _share(before) * MIN_SHARE, seen
                )

    async def _play_all(self, rows: tuple[Row, ...]) -> None:
        """Play the rows side by side."""
        plays = [Play(row) for row in rows]
        await asyncio.gather(*(self._play(play) for play in plays))
        self._check(plays)

    async def _play(self, play: Play) -> None:
        await play.open()
        await play.send()
        await play.close()


def _share(sent: list[Sent]) -> float:
    return sum(each.is_served for each in sent) / len(sent)


if __name__ == '__main__':
    main()
