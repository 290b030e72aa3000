"""The allowed values of each key of a settings file.

The parser and the generated page docs/SETTINGS.md share one table, so they
cannot disagree.
"""

import ipaddress
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from beryllug.core import finding, settings_data

RECORDS: Mapping[str, type[Any]] = MappingProxyType(
    {
        'process': settings_data.Process,
        'operators': settings_data.Operators,
        'fleet': settings_data.Fleet,
        'entry': settings_data.Entry,
        'control': settings_data.Control,
        'router': settings_data.Router,
    }
)

MAX_PORT = 65535
MIN_KEY_LENGTH = 16
NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
MINUTE_S = 60
MINUTE_MS = 60000
HOUR_S = 3600
MAX_RETRY_RATIO = 10
MAX_SLACK = 100000
YEAR_S = 31622400
MIN_HEARTBEAT_S = 0.02
MIB = 1048576
MAX_BODY_BYTES = 67108864
MAX_ANSWERS_BYTES = 1073741824
MAX_IN_FLIGHT = 100000
MAX_SHARDS = 4096
MIN_LEASE_HEARTBEATS = 2
# A control process hears from a peer at least once per three heartbeats. Twice
# that, so that one lost comparison is not taken for the loss of the fleet.
MIN_CUT_OFF_HEARTBEATS = 6


@dataclass(frozen=True, slots=True)
class Name:
    """A short name of letters, digits, dots, dashes and underscores."""


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a fixed set of words."""

    words: tuple[str, ...]
    build: Callable[[str], Any] = str


@dataclass(frozen=True, slots=True)
class Address:
    """An ``ip:port``; port 0 is valid if listening, empty if optional."""

    listening: bool = False
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Addresses:
    """Several addresses, separated by commas or line ends."""

    min_count: int


@dataclass(frozen=True, slots=True)
class Regions:
    """Availability zones with their regions, separated by commas."""


@dataclass(frozen=True, slots=True)
class SharedKeys:
    """One key, or two during a rotation; the first one signs."""


@dataclass(frozen=True, slots=True)
class Integer:
    """A whole number from `low` to `high`."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Number:
    """A number from `low` to `high`."""

    low: float
    high: float


Rule = (
    Name
    | Choice
    | Address
    | Addresses
    | Regions
    | SharedKeys
    | Integer
    | Number
)

SWITCH = Choice(tuple(settings_data.Switch), settings_data.Switch)

RULES: Mapping[str, Rule] = MappingProxyType(
    {
        'process.name': Name(),
        'process.role': Choice(
            ('entry', 'control', 'router'), settings_data.Role
        ),
        'process.host': Name(),
        'process.zone': Name(),
        'process.log_level': Choice(('debug', 'info', 'warning', 'error')),
        'operators.listen': Address(listening=True),
        'operators.keys': SharedKeys(),
        'fleet.keys': SharedKeys(),
        'entry.listen': Address(listening=True),
        'entry.controls': Addresses(min_count=1),
        'entry.max_in_flight': Integer(1, MAX_IN_FLIGHT),
        'entry.header_bytes': Integer(1024, MIB),
        'entry.body_bytes': Integer(1024, MAX_BODY_BYTES),
        'entry.read_s': Number(0.1, HOUR_S),
        'entry.idle_s': Number(0.1, HOUR_S),
        'entry.balancer_lag_s': Number(0, HOUR_S),
        'entry.drain_s': Number(0, HOUR_S),
        'entry.blind_s': Number(0.1, HOUR_S),
        'entry.rating': Address(optional=True),
        'entry.answer_bytes': Integer(1024, MAX_BODY_BYTES),
        'entry.answers_bytes': Integer(1024, MAX_ANSWERS_BYTES),
        'control.listen': Address(listening=True),
        'control.peers': Addresses(min_count=0),
        'control.platform': Address(),
        'control.host_list': Address(),
        'control.weight_store': Address(optional=True),
        'control.watchers': Integer(0, 1000),
        'control.shards': Integer(1, MAX_SHARDS),
        'control.commits_per_s': Number(0.1, 1000),
        'control.lease_s': Number(0.1, HOUR_S),
        'control.heartbeat_s': Number(MIN_HEARTBEAT_S, MINUTE_S),
        'control.cut_off_s': Number(0.1, HOUR_S),
        'control.drain_s': Number(0, HOUR_S),
        'control.retention_s': Number(MINUTE_S, YEAR_S),
        'control.answer_bytes': Integer(MIB, MAX_ANSWERS_BYTES),
        'control.answers_bytes': Integer(MIB, MAX_ANSWERS_BYTES),
        'router.listen': Address(listening=True),
        'router.ready': Address(listening=True),
        'router.peer_listen': Address(listening=True),
        'router.notes_listen': Address(listening=True),
        'router.store': Address(),
        'router.seeds': Addresses(min_count=0),
        'router.drain_ms': Number(0, MINUTE_MS),
        'router.grace_s': Number(0, HOUR_S),
        'router.session_s': Number(0, HOUR_S),
        'router.retry_ratio': Number(0, MAX_RETRY_RATIO),
        'router.retry_slack': Number(0, MAX_SLACK),
        'router.retry_window_s': Number(0.1, HOUR_S),
        'router.trial_share': Number(0, 1),
        'router.trial_slack': Number(0, MAX_SLACK),
        'router.regions': Regions(),
        'router.start_wait_s': Number(0, MINUTE_S),
        'router.answer_bytes': Integer(MIB, MAX_BODY_BYTES),
        'router.answers_bytes': Integer(MIB, MAX_ANSWERS_BYTES),
        'router.event_bytes': Integer(1024, MAX_BODY_BYTES),
        'router.queue_requests': Integer(0, MAX_IN_FLIGHT),
        'router.queue_bytes': Integer(1024, MAX_ANSWERS_BYTES),
        'router.account_shares': SWITCH,
        'router.server_speeds': SWITCH,
        'router.answer_value': Choice(
            tuple(settings_data.AnswerValue), settings_data.AnswerValue
        ),
        'router.prefix_transfer': SWITCH,
    }
)


def find_rule(section: str, key: str) -> Rule:
    """Return the rule of a key."""
    return RULES[f'{section}.{key}']


def parse(rule: Rule, text: str) -> tuple[Any, str]:
    """Parse the text of a key.

    Returns:
        The parsed value and an empty reason, or None and the reason.
    """
    parsed = _parse_value(rule, text)
    if parsed is None:
        return None, f'must be {describe(rule)}'
    return parsed, ''


def describe(rule: Rule) -> str:
    """Describe the allowed values, as the rest of ``must be ...``."""
    match rule:
        case Name():
            description = (
                'a name of letters, digits, `.`, `_` and `-` (at most 63)'
            )
        case Choice(words):
            known = ', '.join(words)
            description = f'one of {known}'
        case Address(_, optional):
            description = 'an ip:port or empty' if optional else 'an ip:port'
        case Addresses(min_count):
            count = f'at least {min_count} ' if min_count else ''
            description = f'a list of {count}ip:port, each once'
        case Regions():
            description = 'a list of zone:region, each zone once'
        case SharedKeys():
            description = (
                f'one or two keys of at least {MIN_KEY_LENGTH} characters'
            )
        case Integer(low, high):
            description = f'a whole number from {low} to {high}'
        case Number(low, high):
            description = f'a number from {low} to {high}'
    return description


def check_cross_key_constraints(
    settings: settings_data.Settings, source: str
) -> list[finding.Finding]:
    """Check constraints between keys."""
    roles = (
        ('entry', settings.entry),
        ('control', settings.control),
        ('router', settings.router),
    )
    findings = [
        finding.Finding(
            source,
            f'{section}.answers_bytes',
            f'must be at least {section}.answer_bytes',
        )
        for section, cfg in roles
        if cfg is not None and cfg.answers_bytes < cfg.answer_bytes
    ]
    if settings.control is not None:
        findings += _check_heartbeats(settings.control, source)
    return findings


def _check_heartbeats(
    control: settings_data.Control, source: str
) -> list[finding.Finding]:
    bounds = (
        ('lease_s', control.lease_s, MIN_LEASE_HEARTBEATS),
        ('cut_off_s', control.cut_off_s, MIN_CUT_OFF_HEARTBEATS),
    )
    return [
        finding.Finding(
            source,
            f'control.{key}',
            f'must be more than {heartbeats} times control.heartbeat_s',
        )
        for key, seconds, heartbeats in bounds
        if seconds <= heartbeats * control.heartbeat_s
    ]


def _parse_value(rule: Rule, text: str) -> Any:
    """Return the parsed value, or None if the text violates the rule."""
    match rule:
        case Name():
            parsed: Any = text if NAME.fullmatch(text) else None
        case Choice(words, build):
            parsed = build(text) if text in words else None
        case Address(listening, optional):
            parsed = _address(text, 0 if listening else 1, optional)
        case Addresses(min_count):
            parsed = _addresses(_split_list(text), min_count)
        case Regions():
            parsed = _regions(_split_list(text))
        case SharedKeys():
            parsed = _shared_keys(_split_list(text))
        case Integer():
            parsed = _number(text, int, rule)
        case Number():
            parsed = _number(text, float, rule)
    return parsed


def _split_list(text: str) -> tuple[str, ...]:
    parts = text.replace('\n', ',').split(',')
    return tuple(part.strip() for part in parts if part.strip())


def _address(text: str, min_port: int, optional: bool) -> str | None:
    if optional and not text:
        return ''
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return None
    if not (port.isascii() and port.isdigit()):
        return None
    return text if min_port <= int(port) <= MAX_PORT else None


def _addresses(
    parts: tuple[str, ...], min_count: int
) -> tuple[str, ...] | None:
    known = {part for part in parts if _address(part, 1, optional=False)}
    is_valid = len(known) == len(parts) and len(parts) >= min_count
    return parts if is_valid else None


def _regions(parts: tuple[str, ...]) -> tuple[str, ...] | None:
    pairs = [part.partition(':') for part in parts]
    zones = {zone for zone, _, _ in pairs}
    are_valid_names = all(
        NAME.fullmatch(zone) and NAME.fullmatch(region)
        for zone, _, region in pairs
    )
    return parts if are_valid_names and len(zones) == len(parts) else None


def _shared_keys(parts: tuple[str, ...]) -> tuple[str, ...] | None:
    long_enough = all(len(part) >= MIN_KEY_LENGTH for part in parts)
    return parts if long_enough and len(parts) in {1, 2} else None


def _number(
    text: str, build: Callable[[str], float], rule: Integer | Number
) -> float | None:
    try:
        number = build(text)
    except ValueError:
        return None
    # Comparisons with NaN are false, so NaN is rejected as well.
    return number if rule.low <= number <= rule.high else None
