"""Tests of the validations, each with a few edits of a valid document."""

import json
import pathlib
import unittest
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from beryllug.checks import validations
from beryllug.core import config_data, document_plain, finding
from beryllug.parsing import document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
VALID: Mapping[str, Any] = MappingProxyType(json.loads(TEXT))
ALL_SMALL_VERSIONS = MappingProxyType({'model': 'desk-small', 'version': '*'})
HASH = VALID['accounts'][0]['key_hashes'][0]
LARGE_V1 = 'models.1.versions.0'

# Title, edits of the valid document, expected paths of findings.
Edit = tuple[str, Any]
CASES: tuple[tuple[str, tuple[Edit, ...], tuple[str, ...]], ...] = (
    (
        'account twice',
        (('accounts.1.account_id', 'kutch-resorts'),),
        ('accounts[0].account_id', 'accounts[1].account_id'),
    ),
    ('pool twice', (('pools.1.name', 'runners-small'),), ('pools[0].name',)),
    (
        'targets twice',
        (('targets.0.request_class', 'hold'),),
        ('targets[0].request_class', 'targets'),
    ),
    ('model twice', (('models.1.name', 'desk-small'),), ('models[0].name',)),
    (
        'cascade named as model',
        (('cascades.0.name', 'desk-large'),),
        ('cascades[0].name', 'models[1].name'),
    ),
    (
        'version twice',
        (('models.0.versions.1.version', 'v1'),),
        ('models[0].versions[1].version',),
    ),
    (
        'operation twice',
        (('services.0.operations.1', VALID['services'][0]['operations'][0]),),
        ('services[0].operations[1]',),
    ),
    (
        'key of two accounts',
        (('accounts.1.key_hashes', [HASH]),),
        ('accounts[0].key_hashes[0]', 'accounts[1].key_hashes[0]'),
    ),
    (
        'key twice',
        (('accounts.1.key_hashes', [HASH, HASH]),),
        ('accounts[1].key_hashes[0]',),
    ),
    (
        'pool of a version',
        (('models.0.versions.0.pool', 'x'),),
        ('models[0].versions[0].pool',),
    ),
    ('pool of a service', (('services.0.pool', 'x'),), ('services[0].pool',)),
    (
        'plain pool of a version',
        (('models.0.versions.0.pool', 'booking'),),
        ('models[0].versions[0].pool',),
    ),
    (
        'engine pool of a service',
        (('services.0.pool', 'runners-large'),),
        ('services[0].pool',),
    ),
    (
        'allowed model',
        (('accounts.0.allowed.0.model', 'x'),),
        ('accounts[0].allowed[0].model',),
    ),
    (
        'allowed version',
        (('accounts.0.allowed.1.version', 'v9'),),
        ('accounts[0].allowed[1].version',),
    ),
    (
        'allowed twice',
        (('accounts.1.allowed', [ALL_SMALL_VERSIONS, ALL_SMALL_VERSIONS]),),
        ('accounts[1].allowed[0]', 'accounts[1].allowed[1]'),
    ),
    (
        'cascade of an account',
        (('accounts.0.cascades', ['x']),),
        ('accounts[0].cascades[0]',),
    ),
    (
        'service of an account',
        (('accounts.0.services', ['x']),),
        ('accounts[0].services[0]',),
    ),
    (
        'no permissions',
        (('accounts.1.allowed', []), ('accounts.1.services', [])),
        ('accounts[1]',),
    ),
    (
        'stage unknown',
        (('cascades.0.stages.0', 'x'),),
        ('cascades[0].stages[0]',),
    ),
    (
        'stage repeated',
        (('cascades.0.stages.1', 'desk-small'),),
        ('cascades[0].stages[0]', 'cascades[0].stages[1]'),
    ),
    (
        'stage is its cascade',
        (('cascades.0.stages.1', 'offers'),),
        ('cascades[0].stages[1]',),
    ),
    (
        'stages not cheapest first',
        (('cascades.0.stages', ['desk-large', 'desk-small']),),
        ('cascades[0].stages[1]',),
    ),
    (
        'last stage not allowed',
        (('accounts.1.cascades', ['offers']),),
        ('accounts[1].cascades[0]',),
    ),
    (
        'stage withdrawn',
        ((f'{LARGE_V1}.withdrawn', True),),
        ('cascades[0].stages[1]', 'accounts[0].allowed'),
    ),
    (
        'all of an account withdrawn',
        (('models.0.versions.0.withdrawn', True),),
        ('accounts[1].allowed', 'rollouts[0].incumbent'),
    ),
    (
        'candidate withdrawn',
        (('models.0.versions.1.withdrawn', True),),
        ('rollouts[0].candidate',),
    ),
    (
        'candidate unknown',
        (('rollouts.0.candidate', 'v9'),),
        ('rollouts[0].candidate',),
    ),
    (
        'incumbent unknown',
        (('rollouts.0.incumbent', 'v9'),),
        ('rollouts[0].incumbent',),
    ),
    (
        'candidate is incumbent',
        (('rollouts.0.candidate', 'v1'),),
        ('rollouts[0].candidate',),
    ),
    (
        'candidate not permitted',
        (('accounts.0.allowed.0.version', 'v1'),),
        ('rollouts[0].candidate',),
    ),
    (
        'two roll-outs',
        (('rollouts', [*VALID['rollouts'], *VALID['rollouts']]),),
        ('rollouts[0].model', 'rollouts[1].model'),
    ),
    (
        'shares fall',
        (('rollouts.0.stages', [5, 1, 100]),),
        ('rollouts[0].stages',),
    ),
    (
        'shares stay equal',
        (('rollouts.0.stages', [5, 5, 100]),),
        ('rollouts[0].stages',),
    ),
    (
        'shares end early',
        (('rollouts.0.stages', [5, 50]),),
        ('rollouts[0].stages',),
    ),
    ('no targets', (('targets', VALID['targets'][:1]),), ('targets',)),
    (
        'first token late',
        (('targets.0.first_token_ms', 500),),
        ('targets[0].first_token_ms',),
    ),
)


class ValidationsTest(unittest.TestCase):
    """Valid documents pass; each invalid one is rejected with its paths."""

    def test_examples(self) -> None:
        """Both example documents are accepted."""
        for name in ('kesarvan', 'takas'):
            with self.subTest(name):
                text = (EXAMPLES / f'{name}.json').read_text()
                parsed, findings = document.parse(text, name)
                assert parsed is not None, findings
                self.assertEqual(validations.validate(parsed), [])

    def test_invalid(self) -> None:
        """Each invalid edit is reported at the affected paths."""
        for title, edits, paths in CASES:
            with self.subTest(title):
                found = {item.path for item in _validate_edited(edits)}
                self.assertLessEqual(set(paths), found)

    def test_every_validation_has_a_case(self) -> None:
        """Every validation of the table reports at least one of the cases."""
        untested = [
            validation.__qualname__
            for validation in validations.all_validations()
            if not any(
                list(validation(_edited(edits))) for _, edits, _ in CASES
            )
        ]
        self.assertEqual(untested, [])

    def test_share_over_limit(self) -> None:
        """A share over 100 percent is reported without the schema's check."""
        edited = _edited((('rollouts.0.stages', [5, 101]),))
        reasons = [item.reason for item in validations.validate(edited)]
        self.assertIn('a share is over 100', reasons)

    def test_cycle(self) -> None:
        """Two cascades that refer to each other are reported as a cycle."""
        first = {**VALID['cascades'][0], 'stages': ['second']}
        second = {**first, 'name': 'second', 'stages': ['offers']}
        reasons = [
            item.reason
            for item in _validate_edited((('cascades', [first, second]),))
        ]
        self.assertIn(
            "cascade 'second' leads back to 'offers': a cycle", reasons
        )

    def test_source(self) -> None:
        """Findings carry the given source."""
        edited = _edited((('targets', []),))
        findings = validations.validate(edited, 'spa.json')
        self.assertEqual({item.source for item in findings}, {'spa.json'})


def _validate_edited(edits: tuple[Edit, ...]) -> list[finding.Finding]:
    return validations.validate(_edited(edits))


def _edited(edits: tuple[Edit, ...]) -> config_data.Document:
    rendered = json.loads(TEXT)
    for path, replacement in edits:
        *steps, last = (
            int(step) if step.isdigit() else step for step in path.split('.')
        )
        node = rendered
        for step in steps:
            node = node[step]
        node[last] = replacement
    return document_plain.build(rendered)


if __name__ == '__main__':
    unittest.main()
