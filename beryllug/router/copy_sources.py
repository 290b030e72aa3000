"""The listed servers from which cached prefixes may be copied."""

from collections.abc import Mapping

from beryllug.core.placement import servers_data
from beryllug.router import server_list, zone_list


class CopySources:
    """Knows the servers that others may copy from.

    Leaving and doubted servers are left out, as are those in evacuated zones
    and outside the regions of the request. Servers that are full or ask for
    backoff are included: a copy costs them no slot.
    """

    def __init__(
        self,
        known: server_list.ServerList,
        zones: zone_list.ZoneList,
        regions: Mapping[str, str],
    ) -> None:
        """Bind to the listed servers, evacuated zones and regions by zone."""
        self._known = known
        self._zones = zones
        self._regions = regions

    def find(
        self, criteria: servers_data.Requirements, now: float
    ) -> list[servers_data.Server]:
        """Return the servers of an attempt's service to copy from."""
        listed, _ = self._known.usable(now)
        return [
            each
            for each in listed
            if each.service == criteria.service
            and each.zone not in self._zones.evacuated
            and self._is_allowed(each.zone, criteria)
        ]

    def _is_allowed(
        self, zone: str, criteria: servers_data.Requirements
    ) -> bool:
        if criteria.regions is None:
            return True
        return self._regions.get(zone, '') in criteria.regions
