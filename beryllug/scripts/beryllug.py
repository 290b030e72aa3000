"""The command-line tool: ``beryllug COMMAND``.

Settings come from the environment: ``BERYLLUG_OPERATORS`` (``ip:port`` of a
control process, or several with commas), ``BERYLLUG_KEY`` (operators' key),
``BERYLLUG_AUTHOR``, and for ``ask`` ``BERYLLUG_ENTRY`` and
``BERYLLUG_CALLER_KEY``. Every command takes ``--json`` for scripts.

Exit codes: 0 success; 1 failed or refused; 2 usage error or invalid document,
with all findings; 3 conflict with another operator; 4 unavailable, nothing
changed; 5 outcome unknown, repeat with the same ``--apply_id``.
"""

import asyncio
import getpass
import json as json_library
import os
import sys
from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import Any, NoReturn, TypeVar, cast


from fire import core, decorators

from beryllug.scripts import ask as ask_client
from beryllug.scripts import cli_data, commands, losses_report

Command = TypeVar('Command', bound=Callable[..., None])
Options = Mapping[str, str]

FLAG_ON = 'True'
OPTIONS = frozenset(
    ('json', 'operators', 'key', 'author', 'apply_id', 'expect', 'entry')
)
ROLLOUT_DEFAULTS = MappingProxyType(
    {
        'stages': '1,5,25,100',
        'budget': '20',
        'max_error_rate': '0.02',
        'min_rating': '0.7',
    }
)


def _with_text_args(command: Command) -> Command:
    """Pass all arguments of a command as strings.

    By default Fire parses the version 1.10 as the number 1.1, so an operator
    would withdraw another version than the one given.
    """
    return cast('Command', decorators.SetParseFn(str)(command))


class Rollout:
    """Start, promote or stop a roll-out."""

    @_with_text_args
    def start(
        self, model: str, incumbent: str, candidate: str, **options: str
    ) -> None:
        """Roll out CANDIDATE beside INCUMBENT.

        Options: --stages=1,5,25,100 (percent of new sessions), --budget=20
        (responses delivered and not yet rated), --max_error_rate=0.02,
        --min_rating=0.7.
        """
        rollout_options = {**ROLLOUT_DEFAULTS, **options}
        try:
            body = _rollout_record(model, incumbent, candidate, rollout_options)
        except ValueError as exc:
            _exit(_usage_error(str(exc)), {})
        common_options = {
            name: rollout_options[name]
            for name in rollout_options
            if name not in ROLLOUT_DEFAULTS
        }
        _run_edit('/v1/rollout/start', {}, common_options, body)

    @_with_text_args
    def promote(self, model: str, **options: str) -> None:
        """End the roll-out of MODEL in favour of its candidate."""
        _run_edit('/v1/rollout/promote', {'model': model}, options)

    @_with_text_args
    def stop(self, model: str, **options: str) -> None:
        """End the roll-out of MODEL and withdraw its candidate."""
        _run_edit('/v1/rollout/stop', {'model': model}, options)


class Tool:
    """Operate beryllug. See `beryllug COMMAND --help`."""

    def __init__(self) -> None:
        """Create the command groups."""
        self.rollout = Rollout()

    @_with_text_args
    def validate(self, path: str, **options: str) -> None:
        """Validate a document (a file, or a directory of files)."""
        _run(commands.validate(path), options)

    @_with_text_args
    def diff(self, path: str, **options: str) -> None:
        """Show how a document differs from the active one."""
        _run(commands.compare(_target(options), path), options)

    @_with_text_args
    def apply(self, path: str, expect: str, **options: str) -> None:
        """Activate a document if revision EXPECT is still the active one."""
        query = {**_change_query(options), 'expect': expect}
        _run(commands.apply(_target(options), path, query), options)

    @_with_text_args
    def show(self, revision: str = '', **options: str) -> None:
        """Show the active document, or a stored revision."""
        _run(commands.show(_target(options), revision), options)

    @_with_text_args
    def history(self, **options: str) -> None:
        """Show who applied the last revisions, and when."""
        _run(commands.history(_target(options)), options)

    @_with_text_args
    def status(self, **options: str) -> None:
        """Show all known processes and backend servers."""
        _run(commands.status(_target(options)), options)

    @_with_text_args
    def dump(self, address: str, **options: str) -> None:
        """Show the whole state of the process at ADDRESS."""
        target = _target(options)._replace(addresses=(address,))
        _run(commands.dump(target), options)

    @_with_text_args
    def withdraw(self, model: str, version: str, **options: str) -> None:
        """Withdraw VERSION of MODEL; its roll-out ends."""
        _run_edit('/v1/withdraw', {'model': model, 'version': version}, options)

    @_with_text_args
    def restore(self, model: str, version: str, **options: str) -> None:
        """Let a withdrawn VERSION of MODEL serve again."""
        _run_edit('/v1/restore', {'model': model, 'version': version}, options)

    @_with_text_args
    def losses(self, *paths: str, **options: str) -> None:
        """Report from log files which requests were lost, and why.

        Options: --by=route,reason (any of second, process, zone, route,
        server, reason).
        """
        by = options.pop('by', 'route,reason').split(',')
        _reject_unknown_options(options)
        _exit(losses_report.report(paths, by), options)

    @_with_text_args
    def usage(self, **options: str) -> None:
        """Show the billed usage."""
        _run(commands.usage(_target(options)), options)

    @_with_text_args
    def ask(self, model: str, text: str, **options: str) -> None:
        """Send one request to an entry and print the streamed response."""
        question = ask_client.ChatRequest(
            _option(options, 'entry', 'BERYLLUG_ENTRY'),
            _option(options, 'key', 'BERYLLUG_CALLER_KEY'),
            model,
            text,
        )
        _reject_unknown_options(options)
        sys.exit(asyncio.run(_ask(question, options)))


def main() -> None:
    """Run the command line."""
    core.Fire(Tool, name='beryllug')


async def _ask(question: ask_client.ChatRequest, options: Options) -> int:
    try:
        async for text in ask_client.stream(question):
            sys.stdout.write(text)
            sys.stdout.flush()
    except ask_client.AskError as exc:
        _print(exc.outcome, options)
        return exc.outcome.code
    sys.stdout.write('\n')
    return cli_data.Exit.DONE


def _run_edit(
    path: str,
    query: Options,
    options: Options,
    body: Any = None,
) -> None:
    full_query = {**query, **_change_query(options)}
    _run(commands.edit(_target(options), path, full_query, body), options)


def _run(
    command: Coroutine[Any, Any, cli_data.Outcome], options: Options
) -> None:
    try:
        _reject_unknown_options(options)
    except SystemExit:
        command.close()
        raise
    _exit(asyncio.run(command), options)


def _reject_unknown_options(options: Options) -> None:
    """Reject unknown, e.g. misspelled, options before any action."""
    unknown = ', '.join(sorted(set(options) - OPTIONS))
    if unknown:
        _exit(_usage_error(f'unknown options: {unknown}'), options)


def _exit(outcome: cli_data.Outcome, options: Options) -> NoReturn:
    _print(outcome, options)
    sys.exit(outcome.code)


def _print(outcome: cli_data.Outcome, options: Options) -> None:
    done = outcome.code is cli_data.Exit.DONE
    out = sys.stdout if done else sys.stderr
    if options.get('json') == FLAG_ON:
        text = json_library.dumps(outcome.report)
        sys.stdout.write(f'{text}\n')
        return
    for line in outcome.lines:
        out.write(f'{line}\n')


def _usage_error(message: str) -> cli_data.Outcome:
    return cli_data.failure(cli_data.Exit.INVALID, 'usage', message)


def _rollout_record(
    model: str, incumbent: str, candidate: str, rollout_options: Options
) -> dict[str, Any]:
    """Return a roll-out in the form of the document section."""
    return {
        'model': model,
        'incumbent': incumbent,
        'candidate': candidate,
        'stages': [
            int(stage) for stage in rollout_options['stages'].split(',')
        ],
        'exposure_budget': int(rollout_options['budget']),
        'max_error_rate': float(rollout_options['max_error_rate']),
        'min_rating': float(rollout_options['min_rating']),
    }


def _target(options: Options) -> cli_data.Target:
    address_list = _option(options, 'operators', 'BERYLLUG_OPERATORS')
    addresses = [address.strip() for address in address_list.split(',')]
    return cli_data.Target(
        tuple(filter(None, addresses)), _option(options, 'key', 'BERYLLUG_KEY')
    )


def _change_query(options: Options) -> dict[str, str]:
    author = _option(options, 'author', 'BERYLLUG_AUTHOR')
    return {
        'author': author or getpass.getuser(),
        'apply_id': options.get('apply_id', ''),
        'expect': options.get('expect', ''),
    }


def _option(options: Options, name: str, environ: str) -> str:
    return options.get(name) or os.environ.get(environ, '')


if __name__ == '__main__':
    main()
