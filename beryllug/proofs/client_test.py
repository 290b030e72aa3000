"""Tests of the OpenAI client, the command-line tool and key rotation."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import openai
from openai.types import chat

from beryllug.core import document_plain
from beryllug.standins import fleet_settings, harness, sample

NEW_KEY = 'operator-key-after-rotation'


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Runs existing clients and tools against a deployment."""

    async def asyncSetUp(self) -> None:
        """Start two entry hosts."""
        self.fleet = harness.Fleet(sample.plan())
        await self.fleet.start()

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.fleet.stop()

    async def test_openai_client(self) -> None:
        """The OpenAI library gets complete and streamed answers and models."""
        client = openai.AsyncOpenAI(
            api_key=sample.LARGE_KEY,
            base_url=f'http://{self.fleet.hosts[0].callers}/v1',
            max_retries=0,
        )
        complete = await client.chat.completions.create(
            model='desk-small', messages=_prompt()
        )
        self.assertIn('end=', complete.choices[0].message.content or '')
        stream = await client.chat.completions.create(
            model='desk-small', messages=_prompt(), stream=True
        )
        text = ''
        async for chunk in stream:
            if chunk.choices:
                text += chunk.choices[0].delta.content or ''
        self.assertIn('end=', text)
        models = await client.models.list()
        self.assertIn('offers', [model.id for model in models.data])
        with self.assertRaises(openai.NotFoundError):
            await client.chat.completions.create(
                model='nothing', messages=_prompt()
            )
        await client.close()

    async def test_tool(self) -> None:
        """The command-line tool exits with the documented codes."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'document.json'
            rendered = document_plain.render(sample.document())
            path.write_text(json.dumps(rendered), encoding='utf-8')
            for args, code in (
                (('validate', str(path)), 0),
                (('show',), 0),
                (('diff', str(path)), 0),
                (('apply', str(path), '--expect', '1'), 0),
                (('apply', str(path), '--expect', '1'), 3),
                (('history',), 0),
                (('status',), 0),
                (('withdraw', 'roster', 'v2'), 2),
                (('usage',), 0),
            ):
                with self.subTest(args=args):
                    exit_code, output = await self._run_tool(*args)
                    self.assertEqual(exit_code, code, output)

    async def test_rotated_keys(self) -> None:
        """SIGHUP loads new operator keys and revokes the old ones."""
        name = fleet_settings.control_name(0)
        address = self.fleet.operator_address(name)
        self.fleet.processes.replace_setting(
            name, fleet_settings.OPERATOR_KEY, NEW_KEY
        )
        self.fleet.processes.signal(name, signal.SIGHUP)

        async def is_refused() -> bool:  # noqa: WPS430
            status, _ = await self.fleet.get(address, '/dump')
            return status == 401

        await harness.wait_for(is_refused, harness.READY_S)
        status, _ = await self.fleet.get(address, '/dump', NEW_KEY)
        self.assertEqual(status, harness.OK)

    async def _run_tool(self, *args: str) -> tuple[int, str]:
        address = self.fleet.hosts[0].control_operators
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'beryllug.scripts.beryllug',
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={
                'BERYLLUG_OPERATORS': address,
                'BERYLLUG_KEY': fleet_settings.OPERATOR_KEY,
                'PYTHONPATH': str(Path(__file__).resolve().parents[2]),
            },
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()


def _prompt() -> list[chat.ChatCompletionMessageParam]:
    return [{'role': 'user', 'content': 'oils?'}]


if __name__ == '__main__':
    unittest.main()
