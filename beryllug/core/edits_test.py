"""Tests of the common changes of a document."""

import unittest

from beryllug.core import config_data, diff, edits

V1 = config_data.VersionRef('m', 'v1')
V2 = config_data.VersionRef('m', 'v2')
ALL_VERSIONS = config_data.VersionRef('m', '*')
OTHER = config_data.VersionRef('n', 'v1')
ROLLOUT = config_data.Rollout('m', 'v1', 'v2', (5, 100), 9, 0.1, 0.5)
LISTS = ((V1, V2), (V2, V1), (ALL_VERSIONS,), (OTHER, V1, ALL_VERSIONS), (V1,))
# The same lists after v2 was promoted over v1.
PROMOTED = (
    (V2, V1),
    (V2, V1),
    (ALL_VERSIONS,),
    (OTHER, V2, V1, ALL_VERSIONS),
    (V1,),
)


def _model(name: str, *refs: config_data.VersionRef) -> config_data.Model:
    versions = (config_data.Version(ref, 'p', 1) for ref in refs)
    return config_data.Model(name, tuple(versions))


BASE = config_data.Document(
    models=(_model('m', V1, V2), _model('n', OTHER)),
    accounts=tuple(
        config_data.Account(f'a{index}', (), allowed)
        for index, allowed in enumerate(LISTS)
    ),
    rollouts=(ROLLOUT,),
)
WITHDRAWN = '~ models[m].versions[{}].withdrawn: False -> True'
ENDED = '- rollouts[m]'

# Title, edit, prefixes of the difference lines.
CASES: tuple[tuple[str, edits.Edit, tuple[str, ...]], ...] = (
    ('incumbent', edits.Withdraw(V1), (WITHDRAWN.format('v1'), ENDED)),
    ('candidate', edits.Withdraw(V2), (WITHDRAWN.format('v2'), ENDED)),
    (
        'another model',
        edits.Withdraw(OTHER),
        ('~ models[n].versions[v1].withdrawn: False -> True',),
    ),
    ('stop', edits.StopRollout('m'), (WITHDRAWN.format('v2'), ENDED)),
    (
        'start in place of another',
        edits.StartRollout(ROLLOUT._replace(stages=(100,))),
        ('~ rollouts[m].stages: [5, 100] -> [100]',),
    ),
    ('restore', edits.Restore(V1), ()),
)
UNKNOWN: tuple[edits.Edit, ...] = (
    edits.Withdraw(config_data.VersionRef('m', 'v9')),
    edits.Restore(config_data.VersionRef('x', 'v1')),
    edits.PromoteRollout('n'),
    edits.StopRollout('x'),
)


class EditsTest(unittest.TestCase):
    """Edits change what they name and nothing else."""

    def test_changes(self) -> None:
        """Each edit causes the expected differences."""
        for title, edit, prefixes in CASES:
            with self.subTest(title):
                found = diff.compare(BASE, edits.apply(BASE, edit))
                lines = [diff.describe(item) for item in found]
                self.assertEqual(len(lines), len(prefixes), lines)
                for line, prefix in zip(lines, prefixes, strict=True):
                    self.assertTrue(line.startswith(prefix), line)

    def test_promote(self) -> None:
        """After a promotion new sessions still get the candidate.

        Without the roll-out the order of the lists decides. If it did not
        change, all new sessions would go back to the incumbent.
        """
        edited = edits.apply(BASE, edits.PromoteRollout('m'))
        self.assertEqual(edited.rollouts, ())
        refs = [version.ref for version in edited.models[0].versions]
        self.assertEqual(refs, [V2, V1])
        lists = tuple(account.allowed for account in edited.accounts)
        self.assertEqual(lists, PROMOTED)

    def test_unknown(self) -> None:
        """An edit of something that is not declared is refused."""
        for edit in UNKNOWN:
            with self.subTest(edit), self.assertRaises(LookupError):
                edits.apply(BASE, edit)


if __name__ == '__main__':
    unittest.main()
