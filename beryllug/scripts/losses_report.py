"""Reports lost requests as a table with bars."""

import io
from collections.abc import Iterable, Sequence
from pathlib import Path

from rich import bar, console, table

from beryllug.core import losses
from beryllug.parsing import log_parser
from beryllug.scripts import cli_data

MAX_ROWS = 40
BAR_WIDTH = 24
WIDTH = 120


def report(paths: Sequence[str], by: Sequence[str]) -> cli_data.Outcome:
    """Return the lost requests, grouped by fields.

    Args:
        paths: Log files; the file name is the default process name.
        by: Names of `losses.FIELDS`.
    """
    unknown = [name for name in by if name not in losses.FIELDS]
    missing = [path for path in paths if not Path(path).is_file()]
    if unknown or missing:
        invalid = ', '.join((*unknown, *missing))
        return cli_data.failure(
            cli_data.Exit.INVALID, 'usage', f'no such field or file: {invalid}'
        )
    groups = losses.group(losses.ended_requests(_read_lines(paths)), by)
    rows = [
        {
            **dict(zip(by, loss_group.key)),
            'lost': loss_group.lost,
            'all': loss_group.all,
        }
        for loss_group in groups
    ]
    return cli_data.Outcome(cli_data.Exit.DONE, rows, _render(groups, by))


def _read_lines(paths: Iterable[str]) -> Iterable[losses.Line]:
    for path in paths:
        with Path(path).open(encoding='utf-8', errors='replace') as text:
            yield from log_parser.read(text, Path(path).stem)


def _render(
    groups: Sequence[losses.Group], by: Sequence[str]
) -> tuple[str, ...]:
    rendered = table.Table(*by, 'lost', 'of', 'share of all lost', box=None)
    lost = sum(loss_group.lost for loss_group in groups)
    for shown_group in groups[:MAX_ROWS]:
        share = bar.Bar(max(lost, 1), 0, shown_group.lost, width=BAR_WIDTH)
        rendered.add_row(
            *shown_group.key, str(shown_group.lost), str(shown_group.all), share
        )
    requests = sum(loss_group.all for loss_group in groups)
    out = io.StringIO()
    writer = console.Console(file=out, width=WIDTH)
    writer.print(rendered)
    writer.print(f'{lost} of {requests} requests were lost')
    if len(groups) > MAX_ROWS:
        writer.print(f'{len(groups) - MAX_ROWS} more rows are left out')
    return tuple(out.getvalue().splitlines())
