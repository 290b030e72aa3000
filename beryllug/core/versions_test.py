"""Tests of the versions that a request may run on."""

import types
import unittest

from beryllug.core import config_data, versions, view_data

OLD = config_data.VersionRef('chat', 'v1')
NEW = config_data.VersionRef('chat', 'v2')
STRONG = config_data.VersionRef('strong', 's1')
ANY_CHAT = config_data.VersionRef('chat', config_data.ANY_VERSION)
ACCOUNT = config_data.Account(
    'desk', (), (ANY_CHAT, STRONG), cascades=('ladder',)
)
ROLLOUT = config_data.Rollout('chat', 'v1', 'v2', (5, 50, 100), 20, 0.1, 0.5)
RUNNING = view_data.RolloutStatus('chat', 'v2', 0, view_data.Verdict.RUNNING)
STOPPED = RUNNING._replace(verdict=view_data.Verdict.STOPPED)
PROMOTED = RUNNING._replace(verdict=view_data.Verdict.PROMOTED)
PLENTY = types.MappingProxyType({NEW: 1000})
NONE_WITHDRAWN: frozenset[config_data.VersionRef] = frozenset()
SESSIONS = 4000


def _view(
    rollouts: tuple[view_data.RolloutStatus, ...] = (RUNNING,),
    withdrawn: frozenset[config_data.VersionRef] = NONE_WITHDRAWN,
) -> view_data.View:
    models = tuple(
        config_data.Model(
            name,
            tuple(
                config_data.Version(ref, name, 1, ref in withdrawn)
                for ref in (OLD, NEW, STRONG)
                if ref.model == name
            ),
        )
        for name in ('chat', 'strong')
    )
    document = config_data.Document(
        models=models,
        cascades=(config_data.Cascade('ladder', ('chat', 'strong'), 0.8, 0.7),),
        rollouts=(ROLLOUT,),
    )
    return view_data.View(1, document, rollouts)


def _first_stage_refs(
    plan: versions.Plan | versions.Refusal,
) -> list[config_data.VersionRef]:
    assert isinstance(plan, versions.Plan)
    stage = plan.stages[0]
    return [version.ref for version in stage.versions]


def _first_choice(
    view: view_data.View,
    session: versions.Session,
    budgets: versions.Budgets = PLENTY,
) -> config_data.VersionRef:
    plan = versions.candidates(view, ACCOUNT, 'chat', session, budgets)
    return _first_stage_refs(plan)[0]


class CandidatesTest(unittest.TestCase):
    """Only allowed and current versions are returned, a pinned one first."""

    def test_refusals(self) -> None:
        """A request that no version may run is refused with the reason."""
        everything = frozenset((OLD, NEW, STRONG))
        nothing = ACCOUNT._replace(allowed=(), cascades=())
        only_old = ACCOUNT._replace(allowed=(OLD,))
        cases = (
            (ACCOUNT, 'nope', NONE_WITHDRAWN, versions.Reason.UNKNOWN),
            (nothing, 'chat', NONE_WITHDRAWN, versions.Reason.NOT_ALLOWED),
            (nothing, 'ladder', NONE_WITHDRAWN, versions.Reason.NOT_ALLOWED),
            (only_old, 'chat', frozenset((OLD,)), versions.Reason.WITHDRAWN),
            (ACCOUNT, 'ladder', everything, versions.Reason.WITHDRAWN),
        )
        for account, asked, withdrawn, reason in cases:
            with self.subTest(asked=asked, reason=reason):
                refusal = versions.candidates(
                    _view(withdrawn=withdrawn),
                    account,
                    asked,
                    versions.Session('s'),
                    PLENTY,
                )
                self.assertEqual(refusal, versions.Refusal(reason, asked))

    def test_pin(self) -> None:
        """A session keeps its version unless that is withdrawn or stopped.

        All new sessions may get the candidate, yet a session that is pinned to
        the incumbent gets only the incumbent, without any alternative.
        """
        pinned = versions.Session('s', (OLD,))
        for state in (RUNNING, PROMOTED, STOPPED):
            with self.subTest(verdict=state.verdict):
                plan = versions.candidates(
                    _view((state,)), ACCOUNT, 'chat', pinned, PLENTY
                )
                assert isinstance(plan, versions.Plan)
                self.assertEqual(_first_stage_refs(plan), [OLD])
                self.assertFalse(plan.pin_broken)

    def test_pin_broken(self) -> None:
        """A withdrawn or stopped version loses its sessions with a flag."""
        cases = (
            (_view(withdrawn=frozenset((NEW,))), 'withdrawn'),
            (_view((STOPPED,)), 'stopped'),
        )
        for view, case in cases:
            with self.subTest(case=case):
                plan = versions.candidates(
                    view, ACCOUNT, 'chat', versions.Session('s', (NEW,)), PLENTY
                )
                assert isinstance(plan, versions.Plan)
                self.assertEqual(_first_stage_refs(plan), [OLD])
                self.assertTrue(plan.pin_broken)
                self.assertFalse(versions.is_current(view, ACCOUNT, NEW))

    def test_rollout_share(self) -> None:
        """Only the stage's share of new sessions gets the candidate."""
        staged = RUNNING._replace(stage=1)
        cases: tuple[
            tuple[view_data.RolloutStatus, versions.Budgets, float], ...
        ] = (
            (RUNNING, PLENTY, 0.05),
            (staged, PLENTY, 0.5),
            (staged, {NEW: 0}, 0),
            (staged, {}, 0),
            (STOPPED, PLENTY, 0),
            (PROMOTED, {}, 1),
        )
        for state, budgets, expected in cases:
            with self.subTest(state=state, budgets=budgets):
                view = _view((state,))
                matches = sum(
                    _first_choice(view, versions.Session(f's{number}'), budgets)
                    == NEW
                    for number in range(SESSIONS)
                )
                self.assertAlmostEqual(matches / SESSIONS, expected, delta=0.02)

    def test_unstarted_rollout(self) -> None:
        """A roll-out without a stored state gets no sessions."""
        matches = [
            _first_choice(_view(()), versions.Session(f's{number}'))
            for number in range(100)
        ]
        self.assertEqual(set(matches), {OLD})

    def test_cascade(self) -> None:
        """A cascade omits the stages without an available version."""
        cases = (
            (NONE_WITHDRAWN, ['chat', 'strong']),
            (frozenset((STRONG,)), ['chat']),
            (frozenset((OLD, NEW)), ['strong']),
        )
        for withdrawn, expected in cases:
            with self.subTest(withdrawn=withdrawn):
                plan = versions.candidates(
                    _view(withdrawn=withdrawn),
                    ACCOUNT,
                    'ladder',
                    versions.Session('s'),
                    PLENTY,
                )
                assert isinstance(plan, versions.Plan)
                found = [stage.model for stage in plan.stages]
                self.assertEqual(found, expected)
                self.assertIsNotNone(plan.cascade)


if __name__ == '__main__':
    unittest.main()
