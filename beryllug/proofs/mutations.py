"""Mutation tests: removes each safeguard and expects its test to fail.

``python -m beryllug.proofs.mutations [NAME...]`` applies each mutation to a
copy of the package and runs its test there. If a test passes in spite of its
mutation, it does not cover the safeguard and the exit code is 1.
"""

import os
import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

PACKAGE = 'beryllug'
TIMEOUT_S = 300
TAIL_LINES = 3


class Mutation(NamedTuple):
    """A mutation that removes a safeguard.

    Attributes:
        name: Short name, prefixed with the guarantee that it breaks.
        path: Path of the module within the package.
        edits: Texts that occur there exactly once, and their replacements.
        test: Test module that must fail.
    """

    name: str
    path: str
    edits: tuple[tuple[str, str], ...]
    test: str


MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'allowed: permissions of the account are not checked',
        'core/versions.py',
        (
            (
                'for version in declared if allows(account, version.ref)',
                'for version in declared',
            ),
        ),
        'proofs.whole_path_test',
    ),
    Mutation(
        'withdrawn: still selected for new requests',
        'core/versions.py',
        (
            (
                'if not version.withdrawn and version.ref not in stopped',
                'if version.ref not in stopped',
            ),
            (
                'or version.withdrawn or not allows(account, ref)',
                'or not allows(account, ref)',
            ),
        ),
        'proofs.versions_test',
    ),
    Mutation(
        'withdrawn: a resumed process uses its stale configuration',
        'entry/chat_attempt_spec.py',
        (('if not deps.link.may_accept(time.monotonic()):', 'if False:'),),
        'proofs.versions_test',
    ),
    Mutation(
        'session: the pin is not looked up',
        'entry/sessions.py',
        (
            (
                'pin = self._from_token(call) or await self._from_record(call)',
                'pin = None',
            ),
        ),
        'proofs.sessions_test',
    ),
    Mutation(
        'session: no record lookup for callers without a token',
        'entry/sessions.py',
        (
            (
                'pin = self._from_token(call) or await self._from_record(call)',
                'pin = self._from_token(call)',
            ),
        ),
        'proofs.sessions_test',
    ),
    Mutation(
        'at most once: the journal is not asked',
        'entry/plain.py',
        (
            (
                'if not call.facts.repeatable:\n            first =',
                'if False:\n            first =',
            ),
        ),
        'proofs.not_run_test',
    ),
    Mutation(
        'not run: reported for a request that may have run',
        'core/retry.py',
        (('return failure in SURELY_NOT_RUN', 'return True'),),
        'proofs.not_run_test',
    ),
    Mutation(
        'complete answer: a broken stream is not resumed',
        'entry/turn_runner.py',
        (
            (
                'incoming = await self._resume(turn, opened, relay.tail.size)',
                'incoming = None',
            ),
        ),
        'proofs.not_run_test',
    ),
    Mutation(
        'complete answer: resumed at the wrong byte offset',
        'entry/turn_runner.py',
        (('opened, relay.tail.size)', 'opened, max(0, relay.tail.size - 1))'),),
        'proofs.not_run_test',
    ),
    Mutation(
        'billed: a late outcome is dropped',
        'entry/outbox.py',
        (
            (
                'self._pending[row.request_id] = row\n        try:',
                'self._pending.pop(row.request_id, None)\n        try:',
            ),
        ),
        'proofs.faults_test',
    ),
    Mutation(
        'crash: the other hosts are not notified',
        'control/suspects.py',
        (('self._spread.broadcast(notes)', 'self._spread.broadcast(())'),),
        'control.suspects_test',
    ),
    Mutation(
        'crash: a trial is granted without notifying the others',
        'control/suspects.py',
        (
            (
                'await self._broadcast((self.table.notes[ask.fingerprint],))',
                'await self._publish()',
            ),
        ),
        'control.suspects_test',
    ),
    Mutation(
        'crash: a request has several trials at once',
        'core/suspects.py',
        (
            (
                'if running is not None or request.server_id in trial_servers(',
                'if request.server_id in trial_servers(',
            ),
        ),
        'core.suspects_test',
    ),
    Mutation(
        'crash: two trials share a server',
        'core/suspects.py',
        (
            (
                'if running is not None or request.server_id in trial_servers(',
                'if running is not None or not trial_servers(',
            ),
        ),
        'core.suspects_test',
    ),
    Mutation(
        'crash: a crash during a trial has no consequence',
        'core/suspects.py',
        (('loss.trial_id and now < loss.at', 'now < 0 * loss.at'),),
        'proofs.suspects_test',
    ),
    Mutation(
        'crash: every request is refused after its first crash',
        'core/suspects.py',
        (('loss.trial_id and now < loss.at', 'now < loss.at'),),
        'proofs.suspects_test',
    ),
    Mutation(
        'crash: a trial starts without being needed',
        'entry/trials.py',
        (('if not self._crashes.known.needs_trial(call):', 'if True:'),),
        'proofs.suspects_test',
    ),
    Mutation(
        'crash: ordinary requests go to the server of a trial',
        'entry/trials.py',
        (('(tried, frozenset())))', '(frozenset(),)))'),),
        'entry.trials_test',
    ),
    Mutation(
        'crash: a trial goes to a server with other requests',
        'entry/trials.py',
        (('busy = tried | self._routing.busy_servers()', 'busy = tried'),),
        'entry.trials_test',
    ),
    Mutation(
        'crash: "not run" is reported for an attempt that crashed',
        'entry/attempts.py',
        (
            (
                'amended = exc.refusal._replace(run=refusal.Run.UNKNOWN)',
                'amended = exc.refusal',
            ),
        ),
        'proofs.suspects_test',
    ),
    Mutation(
        'crash: a server that is checked late counts as alive',
        'entry/crashes.py',
        (('if not cut or not is_late:', 'if True:'),),
        'proofs.suspects_test',
    ),
    Mutation(
        'crash: retries of affected requests use the retry budget',
        'core/retry.py',
        (('if attempt.crashed:\n', 'if False:\n'),),
        'core.retry_test',
    ),
    Mutation(
        'orders: a version is unloaded while answers use it',
        'core/orders.py',
        (
            (
                'return now > grace_ends_at + terms.longest_s',
                'return now > grace_ends_at',
            ),
        ),
        'proofs.orders_test',
    ),
    Mutation(
        'orders: the last copy is not kept',
        'core/orders.py',
        (
            (
                'return keeper(ref, world) == sight.server_id',
                'return False',
            ),
        ),
        'proofs.orders_test',
    ),
    Mutation(
        'orders: a resumed holder uses its stale state',
        'control/order_sender.py',
        (
            (
                'if token is None or now < self._paused_until:\n'
                '            self.book = None',
                'if token is None:\n            return self.book',
            ),
            (
                'return self.book if self._context.accepts() else None',
                'return self.book',
            ),
            ('if token is None or token.fencing != book.fencing:', 'if False:'),
            (
                'return self.book is book and now + terms.write_s'
                ' < token.valid_until',
                'return True',
            ),
            ('book.superseded |= report.fencing > book.fencing', 'pass'),
        ),
        'proofs.orders_test',
    ),
    Mutation(
        'orders: the lease is not checked before the write',
        'control/order_sender.py',
        (
            ('if token is None or token.fencing != book.fencing:', 'if False:'),
            (
                'return self.book is book and now + terms.write_s'
                ' < token.valid_until',
                'return True',
            ),
        ),
        'control.orders_test',
    ),
    Mutation(
        'orders: a write may continue after the lease expires',
        'control/order_sender.py',
        (('asyncio.timeout(terms.write_s)', 'asyncio.timeout(None)'),),
        'control.orders_test',
    ),
    Mutation(
        'orders: a new holder does not wait',
        'core/orders.py',
        (
            (
                'return pool.checks_fencing'
                ' or now >= book.since + terms.settle_s',
                'return True',
            ),
        ),
        'control.orders_test',
    ),
    Mutation(
        'orders: the new token is not asserted',
        'core/orders.py',
        (('MAX_ASSERTS_AT_ONCE),', '0),'),),
        'control.orders_test',
    ),
)


def main() -> None:
    """Run the mutations whose names match the arguments, or all."""
    patterns = sys.argv[1:]
    undetected = [
        mutation.name
        for mutation in MUTATIONS
        if (not patterns or any(name in mutation.name for name in patterns))
        and not _is_detected(mutation)
    ]
    for name in undetected:
        _print_line(f'not detected: {name}')
    sys.exit(bool(undetected))


def _is_detected(mutation: Mutation) -> bool:
    root = Path(__file__).resolve().parents[2]
    with tempfile.TemporaryDirectory(prefix='beryllug-mutation-') as scratch:
        shutil.copytree(root / PACKAGE, Path(scratch) / PACKAGE)
        _apply(mutation, Path(scratch) / PACKAGE / mutation.path)
        command = [
            sys.executable,
            '-m',
            'unittest',
            f'{PACKAGE}.{mutation.test}',
        ]
        completed = subprocess.run(  # noqa: S603
            command,
            cwd=scratch,
            env={**os.environ, 'PYTHONPATH': scratch},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
            text=True,
        )
    last_lines = ' '.join(completed.stderr.strip().splitlines()[-TAIL_LINES:])
    _print_line(f'{mutation.name}: {last_lines}')
    return completed.returncode != 0


def _apply(mutation: Mutation, path: Path) -> None:
    text = path.read_text(encoding='utf-8')
    for old, new in mutation.edits:
        if text.count(old) != 1:
            raise LookupError(
                f'{mutation.name}: must occur exactly once: {old}'
            )
        text = text.replace(old, new)
    path.write_text(text, encoding='utf-8')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
