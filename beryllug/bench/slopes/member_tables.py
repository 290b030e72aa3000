"""Builds membership tables of fleets too large for a test machine."""

from beryllug.core import member_data, membership

ZONES = 20
REGIONS = 10


def name_of(number: int) -> str:
    """Return the name of a control process."""
    return f'control-host-{number:04}'


def members(count: int) -> tuple[member_data.Member, ...]:
    """Return control processes spread over `ZONES` and `REGIONS`."""
    return tuple(
        member_data.Member(
            name_of(number),
            f'10.20.{number // 250}.{number % 250}:7000',  # noqa: WPS432
            f'region-{number % REGIONS}-zone-{number % ZONES}',
            number,
            started=number,
        )
        for number in range(count)
    )


def table_of(known: tuple[member_data.Member, ...]) -> membership.Table:
    """Return the table of the first member, which knows all the others."""
    own, *others = known
    table = membership.Table(own)
    membership.merge_all(table, others, 0)
    return table


def tables(count: int) -> dict[str, membership.Table]:
    """Return the table of each process by name; all hold the same members.

    Merging all members into each table takes a quadratic number of merges,
    so one table is built and the others are derived from it.
    """
    known = members(count)
    first = table_of(known)
    by_name = {member.name: member for member in known}
    ring = first.ring
    return {
        name: membership.Table(
            own=by_name[name],
            known={
                member.name: membership.MemberEntry(member, 0)
                for member in known
                if member.name != name
            },
            ring=ring[place:] + ring[:place],
        )
        for place, name in enumerate(ring)
    }
