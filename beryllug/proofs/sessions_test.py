"""Tests that sessions keep their version on any host and after changes."""

import unittest

from beryllug.core import config_data
from beryllug.standins import caller, fleet_settings, harness, sample

SESSIONS = 24
SHARES = (50, 100)
VERSION = 'x-beryllug-version'
TOKEN = 'x-beryllug-session-token'
MOVED = 'x-beryllug-session-moved'
BOTH = frozenset(('desk-small@v1', 'desk-small@v2'))


def _document(stages: tuple[int, ...]) -> config_data.Document:
    declared = sample.document()
    rollout = declared.rollouts[0]._replace(
        stages=stages, exposure_budget=10000
    )
    return declared._replace(rollouts=(rollout,))


class SessionsTest(unittest.IsolatedAsyncioTestCase):
    """Two entry hosts and a roll-out; sessions with and without a token."""

    async def asyncSetUp(self) -> None:
        """Start the deployment with half of the sessions on the candidate."""
        plan = sample.plan()._replace(document=_document(SHARES))
        self.fleet = harness.Fleet(plan)
        await self.fleet.start()
        self.caller = caller.Caller(sample.LARGE_KEY)
        self.hosts = [ports.callers for ports in self.fleet.hosts]
        await harness.wait_for(self._has_token, harness.READY_S)

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_kept(self) -> None:
        """Sessions stay on the version that answered their first request.

        Each session starts through one host. The entry process of that host is
        killed, the roll-out is raised to all new sessions, and each session
        continues through the second host. Half of them return their token; the
        rest are identified by their stored record.
        """
        await harness.wait_for(self._has_budget, harness.READY_S)
        first = [
            await self._send_chat(0, index, '') for index in range(SESSIONS)
        ]
        pinned_versions = [reply.headers[VERSION] for reply in first]
        self.assertEqual(set(pinned_versions), BOTH)
        await self.fleet.processes.kill(fleet_settings.entry_name(0))
        await self._apply(_document((100,)))
        for index, reply in enumerate(first):
            with self.subTest(index):
                token = reply.headers[TOKEN] if index % 2 else ''
                second = await self._send_chat(1, index, token)
                self.assertEqual(
                    second.headers[VERSION], pinned_versions[index]
                )
                self.assertNotIn(MOVED, second.headers)

    async def test_withdrawn(self) -> None:
        """A withdrawal overrides the pin, and the response reports the move."""
        reply = await self._send_chat(0, 0, '')
        ref = config_data.VersionRef('desk-small', 'v1')
        self.assertEqual(reply.headers[VERSION], 'desk-small@v1')
        without_rollout = _document(SHARES)._replace(rollouts=())
        await self._apply(sample.withdraw(without_rollout, ref))
        second = await self._send_chat(1, 0, reply.headers[TOKEN])
        self.assertEqual(second.headers[VERSION], 'desk-small@v2')
        self.assertEqual(second.headers[MOVED], 'yes')
        small_caller = caller.Caller(sample.SMALL_KEY)
        refused = await small_caller.chat(self.hosts[1], 'desk-small', 'x')
        await small_caller.close()
        self.assertEqual(refused.error()['code'], 'withdrawn')
        self.assertEqual(refused.error()['run'], 'not_run')

    async def _has_token(self) -> bool:
        """Tell whether both hosts have received the session keys.

        Until then, a session is identified only by its stored record.
        """
        replies = [await self._send_chat(host, SESSIONS, '') for host in (0, 1)]
        return all(TOKEN in reply.headers for reply in replies)

    async def _has_budget(self) -> bool:
        """Tell whether the first host has exposure budget for the candidate."""
        state = await self.fleet.dump(fleet_settings.entry_name(0))
        brakes = state['exposure']['brakes'].get('desk-small@v2', {})
        return int(brakes.get('total', 0)) >= SESSIONS

    async def _send_chat(
        self, host: int, index: int, token: str
    ) -> caller.Reply:
        fields = {'x_beryllug_session': f'guest-{index}'}
        if token:
            fields['x_beryllug_session_token'] = token
        reply = await self.caller.chat(
            self.hosts[host], 'desk-small', f'question {index}', **fields
        )
        self.assertEqual(reply.status, 200)
        return reply

    async def _apply(self, document: config_data.Document) -> None:
        await self.fleet.apply(document)
        await self.fleet.wait_for_revision(fleet_settings.entry_name(1))


if __name__ == '__main__':
    unittest.main()
