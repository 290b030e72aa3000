"""Tests of the comparison of documents."""

import unittest

from beryllug.core import config_data, diff, document_plain

POOL = config_data.Pool('p', config_data.PoolKind.ENGINE, 4)
REF = config_data.VersionRef('m', 'v1')
VERSION = config_data.Version(REF, 'p', 10)
OTHER = VERSION._replace(ref=config_data.VersionRef('m', 'v2'))
ACCOUNT = config_data.Account('a', ('0' * 64,), (REF,))
BASE = config_data.Document(
    accounts=(ACCOUNT,),
    models=(config_data.Model('m', (VERSION, OTHER)),),
    pools=(POOL,),
)


def _versions(*versions: config_data.Version) -> config_data.Document:
    return BASE._replace(models=(config_data.Model('m', versions),))


# Title, new document, expected lines.
CASES: tuple[tuple[str, config_data.Document, tuple[str, ...]], ...] = (
    ('same', BASE, ()),
    (
        'withdrawn',
        _versions(VERSION._replace(withdrawn=True), OTHER),
        ('~ models[m].versions[v1].withdrawn: False -> True',),
    ),
    (
        'removed',
        _versions(OTHER),
        (
            "- models[m].versions[v1] = {'version': 'v1', 'pool': 'p', "
            "'cost_micro': 10, 'withdrawn': False}",
        ),
    ),
    (
        'reordered',
        _versions(OTHER, VERSION),
        ('~ models[m].versions: another order',),
    ),
    (
        'new account first',
        BASE._replace(accounts=(ACCOUNT._replace(account_id='b'), ACCOUNT)),
        (
            "+ accounts[b] = {'account_id': 'b', 'key_hashes': "
            f"['{'0' * 64}'], 'allowed': [{{'model': 'm', 'version': 'v1'}}], "
            "'cascades': [], 'services': [], 'weight': 1}",
        ),
    ),
    (
        'two fields',
        BASE._replace(
            accounts=(ACCOUNT._replace(weight=2),),
            pools=(POOL._replace(concurrency=5),),
        ),
        ('~ accounts[a].weight: 1 -> 2', '~ pools[p].concurrency: 4 -> 5'),
    ),
)


class DiffTest(unittest.TestCase):
    """Differences by name."""

    def test_lines(self) -> None:
        """Each change is one line, wherever the records are in their lists."""
        for title, new, lines in CASES:
            with self.subTest(title):
                found = diff.compare(BASE, new)
                self.assertEqual(tuple(map(diff.describe, found)), lines)

    def test_sections(self) -> None:
        """Every list of named records is compared by name."""
        rendered = document_plain.render(BASE)
        self.assertLessEqual(set(rendered), set(diff.KEY_FIELDS))


if __name__ == '__main__':
    unittest.main()
