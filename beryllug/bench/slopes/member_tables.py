"""Membership tables of fleets that no test machine has."""

from beryllug.core import member_data, membership

ZONES = 20
REGIONS = 10


def name_of(number: int) -> str:
    """Return the name of a control process."""
    return f'control-host-{number:04}'


def members(count: int) -> tuple[member_data.Member, ...]:
    """Return so many control processes, spread over the letter's zones."""
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
    """Return what the first of them believes when it has heard of all."""
    own, *others = known
    table = membership.Table(own)
    membership.merge_all(table, others, 0)
    return table


def tables(count: int) -> dict[str, membership.Table]:
    """Return what each of so many processes believes; all believe the same.

    To let each of them hear of all the others would take a square of merges,
    so one table is made and the others are copies of it.
    """
    known = members(count)
    first = table_of(known)
    by_name = {member.name: member for member in known}
    ring = first.ring
    return {
        name: membership.Table(
            own=by_name[name],
            known={
                member.name: membership.Known(member, 0)
                for member in known
                if member.name != name
            },
            ring=ring[place:] + ring[:place],
        )
        for place, name in enumerate(ring)
    }
