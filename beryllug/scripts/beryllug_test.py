"""Tests of the command-line tool with the operators' interface of a control."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import sys
import tempfile
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.control import config, config_admin, fleet_status, operators
from beryllug.core import config_root, settings_data, usage_data
from beryllug.drivers import (
    config_store,
    http_data,
    http_server,
    object_fake_test,
    rpc,
)
from beryllug.kernel import ops, registry
from beryllug.scripts import beryllug

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
VALID_PATH = str(EXAMPLES / 'kesarvan.json')
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
KEY = 'operator-key-number-one'
PROCESS = settings_data.Process(
    'c0', settings_data.Role.CONTROL, 'host-1', 'zone-1'
)
CONTROL = settings_data.Control('c0:1', (), '', '')


class _ToolResult(NamedTuple):
    """Exit code and output of a run of the tool."""

    code: int
    out: str
    err: str


# Title, arguments, exit code, text contained in the output.
CASES: tuple[tuple[str, str, int, str], ...] = (
    ('sound', f'validate {VALID_PATH}', 0, 'no findings'),
    ('missing', 'validate nowhere.json', 2, 'unreadable'),
    ('broken', 'validate BROKEN', 2, 'accounts[0].w'),
    ('sections', 'validate SECTIONS', 0, 'no findings'),
    ('broken apply', 'apply BROKEN --expect 1', 2, 'accounts[0].w'),
    ('same', f'diff {VALID_PATH}', 0, 'no difference from revision 1'),
    ('other', 'diff OTHER', 0, '~ accounts[kutch-resorts].weight: 5 -> 6'),
    ('conflict', 'apply OTHER --expect 0', 3, 'revision 1 by ann is in force'),
    ('no number', 'apply OTHER --expect x', 2, 'expect must be given'),
    ('spelling error', 'apply OTHER --expect 1 --expct 2', 2, 'expct'),
    ('shown', 'show', 0, '"account_id": "kutch-resorts"'),
    ('remembered', 'show --revision 1', 0, '"account_id": "kutch-resorts"'),
    ('forgotten', 'show --revision 9', 1, 'not remembered'),
    ('history', 'history', 0, 'ann'),
    ('status', 'status', 0, 'c0'),
    ('dump', 'dump ADDRESS', 0, '{}'),
    ('bills', 'usage', 0, 'kutch-resorts  3         700'),
    ('last version', 'withdraw desk-large v1', 2, 'accounts[0].allowed'),
    ('not a number', 'withdraw desk-small 1.10', 2, "no version '1.10'"),
    ('no roll-out', 'rollout stop desk-large', 2, 'no roll-out'),
    ('invalid share', 'rollout start m a b --stages x', 2, 'invalid literal'),
    ('wrong key', 'show --key other', 1, 'send a valid operator key'),
    ('unreachable', 'show --operators 127.0.0.1:1', 4, 'nothing changed'),
    ('second', 'show --operators 127.0.0.1:1,ADDRESS', 0, 'kutch-resorts'),
    ('no argument', 'apply OTHER', 2, 'expect'),
)


async def _fake_usage() -> usage_data.Usage:
    account_use = usage_data.AccountUse('kutch-resorts', 3, 700)
    version_use = usage_data.VersionUse(
        'kutch-resorts', 'desk-small', 'v1', 3, 10, 20, 700
    )
    return usage_data.Usage(0, (account_use,), (version_use,))


class ToolTest(IsolatedAsyncioTestCase):
    """Exit codes and output of the tool."""

    async def asyncSetUp(self) -> None:
        self.api = object_fake_test.FakeObjects()
        calls = mock.Mock(call=mock.AsyncMock(side_effect=rpc.RpcError))
        view = config.Config(PROCESS, CONTROL, self.api, calls)
        desk = config_admin.ConfigAdmin(view)
        status = fleet_status.FleetStatus(view, calls)
        self.operators = ops.Operators(
            settings_data.Operators('127.0.0.1:0', (KEY,)),
            registry.Registry(),
            bool,
            operators.routes(desk, status, mock.Mock(usage=_fake_usage)),
        )
        await self.operators.start()
        self.address = f'127.0.0.1:{self.operators.port}'
        files = tempfile.TemporaryDirectory()
        self.addCleanup(files.cleanup)
        self.path = pathlib.Path(files.name)
        self.write('BROKEN', TEXT.replace('"weight": 5', '"w": 5'))
        self.write('OTHER', TEXT.replace('"weight": 5', '"weight": 6'))
        (self.path / 'SECTIONS').mkdir()
        for section, records in json.loads(TEXT).items():
            self.write(
                f'SECTIONS/{section}.json', json.dumps({section: records})
            )

    async def asyncTearDown(self) -> None:
        await self.operators.stop(0)

    async def test_runs(self) -> None:
        """Each run exits with its code and changes no stored object."""
        await self.apply_valid()
        before = dict(self.api.stored)
        for title, line, code, text in CASES:
            with self.subTest(title):
                tool_result = await self.run_tool(line)
                self.assertEqual(tool_result.code, code, tool_result)
                self.assertIn(
                    text, tool_result.err if code else tool_result.out
                )
                self.assertEqual(self.api.stored, before)

    async def test_changes(self) -> None:
        """Changes exit with code 0 and become active."""
        await self.apply_valid()
        for line in (
            'apply OTHER --expect 1',
            'rollout stop desk-small',
            'restore desk-small v2',
            'rollout start desk-small v1 v2 --stages 10,100 --budget 9',
            'rollout promote desk-small',
            'withdraw desk-small v2 --expect 6',
        ):
            with self.subTest(line):
                tool_result = await self.run_tool(line)
                self.assertEqual(tool_result.code, 0, tool_result)
        shown = json.loads((await self.run_tool('show --json')).out)
        self.assertEqual(shown['revision'], 7)
        self.assertEqual(shown['document']['accounts'][0]['weight'], 6)

    async def test_json(self) -> None:
        """With --json the output is one JSON document, even for a refusal."""
        await self.apply_valid()
        tool_result = await self.run_tool('apply OTHER --expect 0 --json')
        report = json.loads(tool_result.out)
        self.assertEqual((tool_result.code, report['error']), (3, 'conflict'))
        self.assertEqual(tool_result.err, '')

    async def test_platform_down(self) -> None:
        """If the platform is down, the tool reports that nothing changed."""
        self.api.down = True
        with mock.patch.object(config_store, 'RETRY_DELAY_S', 0):
            tool_result = await self.run_tool(f'apply {VALID_PATH} --expect 0')
        self.assertEqual(tool_result.code, 4)
        self.assertIn('nothing changed', tool_result.err)

    async def test_lost_answer(self) -> None:
        """The connection is lost after the change took effect.

        The tool must neither repeat the change nor report a failure. It reports
        an unknown outcome and the apply id; the same command with that id then
        reports the outcome.
        """
        lossy_server = http_server.HttpServer(self._drop_response)
        port = await lossy_server.start('127.0.0.1', 0)
        line = f'apply {VALID_PATH} --expect 0 --apply_id mine'
        tool_result = await self.run_tool(
            f'{line} --operators 127.0.0.1:{port}'
        )
        await lossy_server.stop()
        self.assertEqual(tool_result.code, 5, tool_result)
        self.assertIn('--apply_id mine', tool_result.err)
        tool_result = await self.run_tool(line)
        self.assertEqual(tool_result.code, 0)
        root = config_root.decode(self.api.stored[config_root.KEY].value)
        self.assertEqual(root.revision, 1)

    async def test_ask(self) -> None:
        """The response is printed as it arrives; an incomplete one fails."""
        for title, code, text in (
            ('whole', 0, 'Two oils\n'),
            ('broken', 5, 'may have run'),
            ('refused', 1, 'withdrawn (not_run)'),
        ):
            with self.subTest(title):
                entry = http_server.HttpServer(self._respond)
                port = await entry.start('127.0.0.1', 0)
                tool_result = await self.run_tool(
                    f'ask {title} hi --entry 127.0.0.1:{port} --key k'
                )
                await entry.stop()
                self.assertEqual(tool_result.code, code, tool_result)
                self.assertIn(
                    text, tool_result.err if code else tool_result.out
                )

    def write(self, name: str, text: str) -> None:
        """Write an input file of the tool."""
        (self.path / name).write_text(text)

    async def apply_valid(self) -> None:
        """Apply the valid document as revision 1."""
        tool_result = await self.run_tool(f'apply {VALID_PATH} --expect 0')
        self.assertEqual(tool_result.code, 0, tool_result)

    async def run_tool(self, line: str) -> _ToolResult:
        """Run the tool in a separate thread, with its own event loop."""
        return await asyncio.to_thread(self._run, line)

    def _run(self, line: str) -> _ToolResult:
        parts = line.replace('ADDRESS', self.address).split()
        arguments = [
            str(self.path / word) if word.isupper() else word for word in parts
        ]
        environ = {
            'BERYLLUG_OPERATORS': self.address,
            'BERYLLUG_KEY': KEY,
            'BERYLLUG_AUTHOR': 'ann',
        }
        out = io.StringIO()
        err = io.StringIO()
        with (
            mock.patch.dict(os.environ, environ),
            mock.patch.object(sys, 'argv', ['beryllug', *arguments]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = _exit_code()
        return _ToolResult(code, out.getvalue(), err.getvalue())

    async def _respond(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        """Respond as an entry; the model name selects the behaviour."""
        model = json.loads(req.body)['model']
        if model == 'refused':
            error = {'message': 'withdrawn', 'run': 'not_run'}
            await exchange.respond_json(410, {'error': error})
            return
        await exchange.start(200, {'content-type': 'text/event-stream'})
        for piece in ('Two', ' oils'):
            delta = json.dumps({'choices': [{'delta': {'content': piece}}]})
            await exchange.send(f'data: {delta}\n\n'.encode())
        if model == 'whole':
            await exchange.finish(b'data: [DONE]\n\n')
        else:
            exchange.abort()

    async def _drop_response(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        """Apply the change, then close the connection instead of responding."""
        applied = await self.run_tool(
            f'apply {VALID_PATH} --expect 0 --apply_id mine'
        )
        self.assertEqual(applied.code, 0)
        exchange.abort()


def _exit_code() -> int:
    try:
        beryllug.main()
    except SystemExit as exc:
        return int(exc.code or 0)
    raise AssertionError('the tool ended without an exit code')


if __name__ == '__main__':
    main()
