"""Tests of the console, used like by a browser without scripts."""

import base64
import itertools
import json
import pathlib
from collections.abc import Mapping
from html import parser
from typing import Any
from unittest import IsolatedAsyncioTestCase, main, mock
from urllib.parse import urlencode

from beryllug.control import config, config_admin, console_forms, operators
from beryllug.core import config_root, settings_data
from beryllug.drivers import (
    config_store,
    http_client,
    http_data,
    object_fake_test,
    rpc,
)
from beryllug.kernel import ops, registry
from beryllug.parsing import document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
KEY = 'operator-key-number-one'
PROCESS = settings_data.Process('c0', settings_data.Role.CONTROL, 'h', 'z')
CONTROL = settings_data.Control('c0:1', (), '', '')
FIRST = 'kutch-resorts'
FORM_TYPE = 'application/x-www-form-urlencoded'
CSP = 'content-security-policy'


class _Page(parser.HTMLParser):
    """Parser for the fields, the buttons and the error lines of a page."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.text = text
        self.fields: dict[str, str] = {}
        self.acts: list[str] = []
        self.errors: list[str] = []
        self._open_field = ''
        self._in_error_line = False
        self.feed(text)

    def handle_starttag(self, tag: str, attrs: Any) -> None:
        """Collect the fields that a browser would submit."""
        attributes = dict(attrs)
        name = attributes.get('name', '')
        self._in_error_line = attributes.get('class') == 'wrong'
        match tag:
            case 'input' if attributes.get('type') == 'checkbox':
                if 'checked' in attributes:
                    self.fields[name] = 'on'
            case 'input':
                self.fields[name] = attributes.get('value', '')
            case 'textarea' | 'select':
                self._open_field = name
                self.fields[name] = ''
            case 'option' if 'selected' in attributes:
                self.fields[self._open_field] = '?'
            case 'button':
                self.acts.append(attributes['value'])

    def handle_endtag(self, tag: str) -> None:
        """End a field or an error line."""
        if tag in {'textarea', 'select'}:
            self._open_field = ''
        self._in_error_line = False

    def handle_data(self, data: str) -> None:
        """Collect the text of a field or of an error line."""
        chosen = self.fields.get(self._open_field) == '?'
        if self._open_field and (chosen or self.lasttag == 'textarea'):
            self.fields[self._open_field] = data
        if self._in_error_line:
            self.errors.append(data)


class FormsTest(IsolatedAsyncioTestCase):
    """Decoded forms equal the records they were rendered from."""

    def test_round_trip(self) -> None:
        """Each record of the examples is unchanged after render and decode."""
        schema = document.schema()
        for name in ('kesarvan', 'takas'):
            text = (EXAMPLES / f'{name}.json').read_text()
            for section, records in json.loads(text).items():
                for record in records:
                    self._check(schema, section, record)

    def _check(
        self, schema: Mapping[str, Any], section: str, record: dict[str, Any]
    ) -> None:
        of_record = console_forms.record_schema(schema, section)
        form = console_forms.Form(schema['$defs'], {})
        page = _Page(console_forms.render(form, of_record, record))
        decoded = console_forms.decode(schema['$defs'], of_record, page.fields)
        # A form contains default values; a document may leave them out.
        parsed = [
            document.parse(json.dumps({section: [one]}), 'd')[0]
            for one in (record, decoded)
        ]
        with self.subTest(section=section, record=record):
            self.assertIsNotNone(parsed[0])
            self.assertEqual(parsed[0], parsed[1])


class ConsoleTest(IsolatedAsyncioTestCase):
    """Editing in the console and applying the result."""

    async def asyncSetUp(self) -> None:
        no_pause = mock.patch.object(config_store, 'RETRY_DELAY_S', 0)
        no_pause.start()
        self.addCleanup(no_pause.stop)
        self.api = object_fake_test.FakeObjects()
        calls = mock.Mock(call=mock.AsyncMock(side_effect=rpc.RpcError))
        view = config.Config(PROCESS, CONTROL, self.api, calls)
        self.admin = config_admin.ConfigAdmin(view)
        self.operators = ops.Operators(
            settings_data.Operators('127.0.0.1:0', (KEY,)),
            registry.Registry(),
            bool,
            operators.control_routes(view, calls, rpc.RpcServer(mock.Mock())),
        )
        self.client = http_client.HttpClient()
        self.answer = http_data.Headers()
        await self.operators.start()
        await self.apply(TEXT, 0)

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.operators.stop(0)

    async def test_change(self) -> None:
        """A value changed in a form is in the current document after apply."""
        page = await self.press(await self.open(), f'open accounts {FIRST}')
        page.fields['weight'] = '9'
        page = await self.press(page, 'keep')
        self.assertEqual(page.errors, [])
        page = await self.press(page, 'back')
        self.assertIn(f'accounts[{FIRST}].weight: 5 -&gt; 9', page.text)
        page = await self.press(page, 'apply')
        self.assertIn('Revision 2 is in force', page.text)
        shown = await self.admin.show()
        self.assertEqual(shown.document.accounts[0].weight, 9)
        self.assertEqual(shown.root.author, 'ann')

    async def test_findings(self) -> None:
        """Findings are shown at their fields and prevent an apply."""
        page = await self.press(await self.open(), f'open accounts {FIRST}')
        page.fields['weight'] = 'much'
        page.fields['allowed[1].version'] = 'v9'
        page = await self.press(page, 'keep')
        place = page.text.index('id="weight"')
        self.assertIn('class="wrong"', page.text[place : place + 120])
        self.assertEqual(page.fields['weight'], 'much')
        page.fields['weight'] = '5'
        page = await self.press(page, 'keep')
        self.assertIn("model 'desk-large' has no version 'v9'", page.errors)
        place = page.text.index('id="allowed[1].version"')
        self.assertIn('class="wrong"', page.text[place : place + 120])
        page = await self.press(page, 'back')
        self.assertNotIn('apply', page.acts)
        listed = ' '.join(page.errors)
        self.assertIn('accounts[0].allowed[1].version', listed)

    async def test_rows(self) -> None:
        """List rows and whole records are added and removed."""
        page = await self.press(await self.open(), f'open accounts {FIRST}')
        page = await self.press(page, 'drop allowed[0]')
        self.assertEqual(page.fields['allowed[0].model'], 'desk-large')
        page = await self.press(page, 'add allowed')
        page.fields['allowed[1].model'] = 'desk-small'
        page.fields['allowed[1].version'] = '*'
        page = await self.press(page, 'keep')
        page = await self.press(page, 'open accounts ')
        page.fields['account_id'] = 'saputara-2'
        page.fields['key_hashes'] = 'ab' * 32
        page.fields['services'] = 'booking\n'
        page = await self.press(page, 'keep')
        page = await self.press(page, 'remove accounts saputara-spa')
        page = await self.press(page, 'apply')
        self.assertIn('Revision 2 is in force', page.text)
        accounts = (await self.admin.show()).document.accounts
        names = [account.account_id for account in accounts]
        self.assertEqual(names, [FIRST, 'saputara-2'])
        models = [ref.model for ref in accounts[0].allowed]
        self.assertEqual(models, ['desk-large', 'desk-small'])

    async def test_conflict(self) -> None:
        """Another operator applies a change while a draft is open.

        The draft is refused. Rebased, it keeps changes of records that the
        other operator did not change. A record changed by both must be edited
        again, since the draft would undo the other operator's change.
        """
        for target, kept in (
            ('"weight": 5', False),
            ('"total_ms": 400', True),
        ):
            with self.subTest(target):
                revision = (await self.admin.show()).root.revision
                page = await self.open()
                page = await self.press(page, f'open accounts {FIRST}')
                page.fields['weight'] = '8'
                page = await self.press(page, 'keep')
                await self.apply(TEXT.replace(target, f'{target}1'), revision)
                page = await self.press(page, 'apply')
                self.assertIn('by bob is in force', page.errors[0])
                page = await self.press(page, 'rebase')
                self.assertEqual('apply' in page.acts, kept)
                await self.apply(TEXT, revision + 1)

    async def test_lost_answer(self) -> None:
        """The platform's reply is lost: pressing Apply again is safe."""
        page = await self.press(await self.open(), f'open accounts {FIRST}')
        page.fields['weight'] = '9'
        page = await self.press(page, 'keep')
        self.api.before_write = self._lose_root_reply
        page = await self.press(page, 'apply')
        self.assertIn('Not known whether', page.errors[0])
        self.api.lost_requests.clear()
        page = await self.press(page, 'apply')
        self.assertIn('Revision 2 is in force', page.text)

    async def test_access(self) -> None:
        """A page of another site can't make the browser change anything.

        The browser sends the operator's name and key with such requests. They
        are refused because the form lacks the CSRF token, or because of the
        Sec-Fetch-Site header.
        """
        page = await self.open()
        self.assertIn("default-src 'none'", self.answer[CSP])
        forged = {**page.fields, 'act': 'discard', 'token': 'x'}
        self.assertEqual(await self.post(forged, {}), 403)
        fields = {**page.fields, 'act': 'discard'}
        self.assertEqual(await self.post(fields, {}), 200)
        foreign = {'sec-fetch-site': 'cross-site'}
        self.assertEqual(await self.post(fields, foreign), 403)
        self.assertEqual(await self.post(fields, {'authorization': ''}), 401)
        self.assertIn('Basic', self.answer['www-authenticate'])

    async def test_hostile_fields(self) -> None:
        """Malformed or hostile fields never break a page or apply a change."""
        page = await self.open()
        before = dict(self.api.stored)
        hostile = '<script>alert(1)</script>'
        record = {'account_id': hostile, 'weight': hostile}
        change = {'section': 'accounts', 'key': '', 'record': record}
        changes = json.dumps([change])
        for name, text in itertools.product(
            ('act', 'changes', 'revision', 'find', 'of', 'was'),
            (hostile, changes, '[1]', '[' * 9999, '9' * 99, 'open x', ''),
        ):
            with self.subTest(name=name, text=text[:20]):
                fields = {**page.fields, 'act': 'find', name: text}
                self.assertEqual(await self.post(fields, {}), 200)
                self.assertNotIn('<script', self.body)
        opened = {**page.fields, 'changes': changes}
        for act in (f'open accounts {hostile}', f'remove accounts {hostile}'):
            self.assertEqual(await self.post({**opened, 'act': act}, {}), 200)
            self.assertNotIn('<script', self.body)
        self.assertEqual(self.api.stored, before)

    async def open(self) -> _Page:
        """Open the console."""
        await self._send('GET', b'', {})
        return _Page(self.body)

    async def press(self, page: _Page, act: str) -> _Page:
        """Press a button of a page."""
        status = await self.post({**page.fields, 'act': act}, {})
        self.assertEqual(status, 200)
        return _Page(self.body)

    async def post(
        self, fields: Mapping[str, str], headers: Mapping[str, str]
    ) -> int:
        """Submit a form and return the status."""
        return await self._send('POST', urlencode(fields).encode(), headers)

    async def apply(self, text: str, expect: int) -> None:
        """Apply a document as another operator."""
        params = config_admin.ApplyParams(expect, 'bob', f'apply-{expect}')
        outcome = await self.admin.apply(text.encode(), params)
        self.assertTrue(outcome.is_ok(), outcome)

    async def _send(
        self, method: str, body: bytes, headers: Mapping[str, str]
    ) -> int:
        basic = base64.b64encode(f'ann:{KEY}'.encode()).decode()
        sent = {
            'authorization': f'Basic {basic}',
            'content-type': FORM_TYPE,
            **headers,
        }
        incoming, answer = await self.client.call(
            f'127.0.0.1:{self.operators.port}',
            http_data.Outgoing(method, '/console', sent, body),
            10,
        )
        self.answer = dict(incoming.headers)
        self.body = answer.decode()
        return incoming.status

    async def _lose_root_reply(self, key: str) -> None:
        if key == config_root.KEY:
            self.api.lost_responses = [f'write {key}']
            self.api.lost_requests = list(itertools.repeat(f'read {key}', 9))
        else:
            self.api.before_write = self._lose_root_reply


if __name__ == '__main__':
    main()
