"""Tests that the pages and the programs say the same.

A page that names what is not there sends its reader astray; what is there and
stands on no page is found only by reading the code.
"""

import os
import pathlib
import re
import unittest
from collections.abc import Iterable, Iterator
from importlib import util
from types import MappingProxyType
from typing import Any, cast

from beryllug.control import operators, shard_owner
from beryllug.core import (
    lease_data,
    outage,
    refusal,
    request_data,
    settings_data,
    suspects,
    token_keys,
)
from beryllug.drivers import fleet_key
from beryllug.entry import answers, callers, fetches, intake
from beryllug.kernel import log_lines, ops
from beryllug.parsing import settings, settings_rules
from beryllug.scripts import (
    beryllug,
    beryllugd,
    cli_data,
    compose,
    compose_router,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
DOCS = ROOT / 'docs'
API = DOCS / 'API.md'
OPERATIONS = DOCS / 'OPERATIONS.md'
CONFIGURATION = DOCS / 'CONFIGURATION.md'
GLOSSARY = DOCS / 'GLOSSARY.md'
HEADERS = ROOT / 'beryllug' / 'entry' / 'headers.py'
PAGES = (
    ROOT / 'README.md',
    ROOT / 'DEVELOPERS.md',
    *sorted(DOCS.glob('*.md')),
)
# Linked to and not written yet; each is taken out here when it is there.
UNWRITTEN = frozenset(('PROOFS.md', 'CAPACITY.md'))
SOURCES = tuple(
    path
    for path in sorted((ROOT / 'beryllug').rglob('*.py'))
    if not path.name.endswith('_test.py')
)

FENCE = re.compile('^```.*?^```', re.MULTILINE | re.DOTALL)
LINK = re.compile(r'\]\(([^)\s]+)\)')
HEADING = re.compile('^#+ (.*)', re.MULTILINE)
ABSENT = re.compile('^- `([a-z_]+)` does not run', re.MULTILINE)
HEADER = re.compile("^[A-Z_]+ = '([a-z-]+)'$", re.MULTILINE)
OUR_HEADER = re.compile('x-beryllug-[a-z-]+')
HTTP_PATH = re.compile(r'(?:/v1|/console)(?:/[A-Za-z/]*)?|/(?:healthz|readyz)')
EVENT = re.compile(r'event=([a-z_]+(?:%s)?)')
METRIC = re.compile(
    'beryllug_(?:process|config|requests_ended|log_lines|names|zones|servers'
    '|store)_[a-z_]+'
)
SAMPLE = re.compile(
    r"^( +)yield (?:metrics_data\.)?Sample\(\s*'([a-z_]+)'(.*?)^\1\)",
    re.MULTILINE | re.DOTALL,
)
COMMAND = re.compile(r'^\s*beryllug ([a-z]+)(?: ([a-z]+))?', re.MULTILINE)
MODULE = re.compile(r'python -m ([a-z_.]+)')
TARGET = re.compile('(?:^|`)make ([a-z]+)', re.MULTILINE)
EXIT = re.compile(r'exit code (\d)')
ROW = re.compile(r'^\| `?([^|`]+?)`?(?:, [^|]*)? \|', re.MULTILINE)
MACHINE = re.compile(
    r'(?<![\w.])/(?:home|root|work|tmp|usr|opt|var|etc|mnt|Users)/'
)
URL = re.compile(r'https?://([^/\s`)]+)')
OUR_HOSTS = re.compile(r'127\.0\.0\.1:\d+|ENTRY')

MS = 1000
MIB = 1048576
FIGURES = MappingProxyType(
    {
        API: (
            f'at most {intake.MAX_HEADER_TEXT} characters',
            f'{intake.DEFAULT_FIRST_TOKEN_MS // MS} s to the first token',
            f'{intake.DEFAULT_TOTAL_MS // MS} s in all',
            f'up to {request_data.URGENT_TOTAL_MS // MS} s, then',
            f'then up to {request_data.NORMAL_TOTAL_MS // MS} s',
            f'up to {fetches.RECOVERY_S:.0f} s',
        ),
        OPERATIONS: (
            f'stops granting {lease_data.FALLBACK} lease times',
            f'{shard_owner.MAX_PENDING:,} pending rows',
            f'{outage.MAX_COPIES:,} copies',
            f"doesn't know for {outage.QUARANTINE_S:.0f} s",
            f'refused for {suspects.REFUSED_S:.0f} s',
            f'over {answers.INLINE_BYTES} bytes',
            f'{answers.MAX_OWED_BYTES // MIB} MiB',
            f'differ by {fleet_key.MAX_SKEW_S:.0f} s',
            f'signs {token_keys.SPREAD_S:.0f} s after',
        ),
    }
)


class NamesTest(unittest.TestCase):
    """Names on the pages exist, and what exists is named."""

    def test_headers(self) -> None:
        """Callers' headers, both ways."""
        known = set(HEADER.findall(text_of(HEADERS)))
        listed = set(rows_after(API, '## Headers'))
        self.assertEqual(listed, known | {'retry-after'})
        self.check_known(OUR_HEADER, known)

    def test_refusals(self) -> None:
        """Refusal codes with their statuses, both ways."""
        stated = re.findall(
            r'^\| `([a-z_]+)` \| (\d{3}) \|', text_of(API), re.MULTILINE
        )
        known = [
            (code.value, str(status))
            for code, status in refusal.STATUSES.items()
        ]
        self.assertCountEqual(stated, known)

    def test_runs(self) -> None:
        """What can be said of a run is explained."""
        for run in refusal.Run:
            with self.subTest(run.value):
                self.assertIn(f'**{run.value}**', text_of(API))

    def test_unsent_code(self) -> None:
        """Only the code that the page calls reserved is sent nowhere."""
        code = ''.join(path.read_text('utf-8') for path in SOURCES)
        unsent = {
            one.value
            for one in refusal.Code
            if len(re.findall(rf'Code\.{one.name}\b', code)) < 2
        }
        reserved = re.findall(r'`([a-z_]+)` \|.*\| reserved;', text_of(API))
        self.assertEqual(unsent, set(reserved))

    def test_paths(self) -> None:
        """HTTP paths on any page are served; callers' ones are all listed."""
        served = set(paths_served())
        for page, path in found(HTTP_PATH):
            with self.subTest(page=page.name, path=path):
                bare = path.rstrip('/')
                self.assertTrue(
                    any(one.rstrip('/').startswith(bare) for one in served)
                )
        for path in (
            intake.CHAT_PATH,
            callers.MODELS_PATH,
            f'{intake.SERVICES_PREFIX}NAME/PATH',
            f'{fetches.PREFIX}ID',
        ):
            with self.subTest(path):
                self.assertIn(path, text_of(API))

    def test_operators_paths(self) -> None:
        """Each path of the operators' address stands on a page."""
        text = text_of(OPERATIONS) + text_of(CONFIGURATION)
        for path in (ops.HEALTH, ops.READINESS, ops.DUMP, ops.METRICS):
            with self.subTest(path):
                self.assertIn(f'| `{path}` |', text_of(OPERATIONS))
        for path in operator_paths():
            with self.subTest(path):
                last = path.rpartition('/')[2]
                self.assertIn(f'/{last}', text)

    def test_exit_codes(self) -> None:
        """Exit codes of the tool and of the daemon, both ways."""
        tool = {str(code.value) for code in cli_data.Exit}
        self.assertLessEqual(tool, set(rows_of(CONFIGURATION)))
        daemon = set(rows_after(OPERATIONS, '`/readyz` when it takes work.'))
        self.assertEqual(daemon, {'0', '1', str(beryllugd.EXIT_USAGE)})
        self.check_known(EXIT, tool)

    def test_settings(self) -> None:
        """Settings that a page names with their section exist."""
        known = set(settings_rules.RULES)
        sections = '|'.join({rule.partition('.')[0] for rule in known})
        named = re.compile(rf'`((?:{sections})\.[a-z_]+)`')
        self.check_known(named, known)

    def test_metrics(self) -> None:
        """Metrics, both ways."""
        known = set(metrics_known())
        self.check_known(METRIC, known)
        self.assertEqual(known, set(METRIC.findall(text_of(OPERATIONS))))

    def test_events(self) -> None:
        """Log events that a page names are logged."""
        logged = {
            event
            for path in SOURCES
            for event in EVENT.findall(path.read_text('utf-8'))
        }
        for page, event in found(EVENT):
            with self.subTest(page=page.name, event=event):
                self.assertTrue(is_logged(event, logged))

    def test_commands(self) -> None:
        """Commands, modules and make targets on any page exist."""
        targets = set(
            re.findall('^([a-z]+):', text_of(ROOT / 'Makefile'), re.MULTILINE)
        )
        self.check_known(TARGET, targets)
        for page, command, sub in commands():
            with self.subTest(page=page.name, command=command):
                known = beryllug.Rollout if sub else beryllug.Tool
                self.assertTrue(hasattr(known, sub or command))
        for page, module in found(MODULE):
            with self.subTest(page=page.name, module=module):
                self.assertIsNotNone(util.find_spec(module))

    def check_known(self, pattern: re.Pattern[str], known: set[str]) -> None:
        """Check that all that a pattern finds on any page is known."""
        for page, name in found(pattern):
            with self.subTest(page=page.name, name=name):
                self.assertIn(name, known)


class ServicesTest(unittest.IsolatedAsyncioTestCase):
    """The services that the pages name run in a process."""

    async def test_services(self) -> None:
        """The dump's services by role, both ways; none runs as missing."""
        table = re.findall(
            r'^\| `([a-z_]+)` \| ((?:entry|control|router)'
            r'(?:, (?:control|router))*) \|',
            text_of(OPERATIONS),
            re.MULTILINE,
        )
        limits = text_of(OPERATIONS).partition('## Known limits')[2]
        missing = set(ABSENT.findall(limits))
        for role in settings_data.Role:
            services = services_of(role)
            listed = {name for name, roles in table if role.value in roles}
            with self.subTest(role.value):
                self.assertEqual(listed, services)
                self.assertFalse(missing & services)


class TextTest(unittest.TestCase):
    """Links, modules, and what must not stand on a page."""

    def test_links(self) -> None:
        """Links between pages resolve, to the very heading."""
        for page, link in found(LINK):
            target, _, heading = link.partition('#')
            path = (page.parent / target) if target else page
            if path.name in UNWRITTEN and not path.exists():
                continue
            with self.subTest(page=page.name, link=link):
                self.assertTrue(path.is_file())
                if heading:
                    self.assertIn(heading, anchors(path))

    def test_modules(self) -> None:
        """Modules of the glossary exist, and the words stand in them."""
        for line in text_of(GLOSSARY).splitlines():
            modules = re.findall(r'`([a-z_/]+\.py)` \|$', line)
            for module in modules:
                path = ROOT / 'beryllug' / module
                with self.subTest(line):
                    self.assertTrue(path.is_file())

    def test_figures(self) -> None:
        """Figures that operators and callers rely on are the code's."""
        for page, figures in FIGURES.items():
            text = ' '.join(text_of(page).split())
            for figure in figures:
                with self.subTest(page=page.name, figure=figure):
                    self.assertIn(figure, text)

    def test_nothing_private(self) -> None:
        """No page names a path of a machine or a host that isn't ours."""
        for page in PAGES:
            text = text_of(page)
            with self.subTest(page.name):
                self.assertEqual(MACHINE.findall(text), [])
                foreign = [
                    host
                    for host in URL.findall(text)
                    if not OUR_HOSTS.fullmatch(host)
                ]
                self.assertEqual(foreign, [])


def text_of(page: pathlib.Path) -> str:
    """Return the text of a page."""
    return page.read_text('utf-8')


def found(pattern: re.Pattern[str]) -> Iterator[tuple[pathlib.Path, str]]:
    """Yield what a pattern finds, with the page."""
    for page in PAGES:
        for name in pattern.findall(text_of(page)):
            yield page, name


def rows_of(page: pathlib.Path) -> list[str]:
    """Return the first cells of all tables of a page."""
    return ROW.findall(text_of(page))


def rows_after(page: pathlib.Path, mark: str) -> list[str]:
    """Return the first cells of the first table after a mark."""
    _, _, rest = text_of(page).partition(mark)
    table = rest.partition('\n|')[2].partition('\n\n')[0]
    return ROW.findall(f'|{table}\n')[1:]


def anchors(page: pathlib.Path) -> set[str]:
    """Return the anchors of a page's headings."""
    return {
        re.sub('[^a-z0-9 -]', '', heading.lower()).replace(' ', '-')
        for heading in HEADING.findall(text_of(page))
    }


def commands() -> Iterator[tuple[pathlib.Path, str, str]]:
    """Yield commands of the tool in blocks, with those of roll-outs."""
    for page, block in found(FENCE):
        for command, word in COMMAND.findall(block):
            yield page, command, word if command == 'rollout' else ''


def paths_served() -> Iterator[str]:
    """Yield the paths of callers' and operators' addresses."""
    yield from (intake.CHAT_PATH, callers.MODELS_PATH)
    yield from (f'{intake.SERVICES_PREFIX}NAME/PATH', f'{fetches.PREFIX}ID')
    for operation in ('booking/holds', 'booking/slots'):
        yield f'{intake.SERVICES_PREFIX}{operation}'
    yield from (ops.HEALTH, ops.READINESS, ops.DUMP, ops.METRICS)
    yield from operator_paths()


def operator_paths() -> set[str]:
    """Return the paths that a control adds to its operators' address."""
    nothing = cast(Any, None)
    routes = operators.routes(nothing, nothing)
    return {route.path for route in routes if '.' not in route.path}


def metrics_known() -> Iterator[str]:
    """Yield the names of all metrics as Prometheus shows them."""
    for path in SOURCES:
        for _, name, rest in SAMPLE.findall(text_of(path)):
            counter = 'Kind.COUNTER' in rest
            yield f'beryllug_{name}_total' if counter else f'beryllug_{name}'


def is_logged(event: str, logged: Iterable[str]) -> bool:
    """Tell whether an event is logged, by name or by its fixed part."""
    return any(
        event == one or ('%' in one and event.startswith(one[:-2]))
        for one in logged
    )


def services_of(role: settings_data.Role) -> set[str]:
    """Return the names of the services of a role, as the dump shows them."""
    cfg, findings = settings.load(str(ROOT / f'examples/{role.value}.ini'))
    assert cfg is not None, findings
    if cfg.router is not None:
        sink = os.open(os.devnull, os.O_WRONLY)
        lines = log_lines.LineWriter(sink)
        return set(compose_router.compose(cfg, cfg.router, lines).dump())
    return set(compose.compose(cfg).services.dump())


if __name__ == '__main__':
    unittest.main()
