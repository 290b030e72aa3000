"""Cuts between routers and all backend servers."""

import asyncio
from collections.abc import Sequence
from types import MappingProxyType

from beryllug.soak import components, cut_daemon, load_checks, plan, site
from beryllug.standins import link_cut

Kind = plan.Kind
# What a fault does to the links of a router.
CUT_MODES = MappingProxyType(
    {
        Kind.LINKS_HANG: link_cut.Mode.HANG,
        Kind.LINKS_RESET: link_cut.Mode.RESET,
        Kind.LINKS_REFUSE: link_cut.Mode.REFUSE,
    }
)


class LinkFaults:
    """Cuts links for longer than a cut may take to be known."""

    def __init__(self, deployment: site.SoakSite) -> None:
        """Start without a cut."""
        self._deployment = deployment
        self._cut: set[str] = set()

    async def cut_one(self, fault: plan.Fault) -> None:
        """Cut a router off from all servers."""
        await self._cut_off((self._name(fault.target),), fault)

    async def cut_zone(self, fault: plan.Fault) -> None:
        """Cut all routers of the first zone off from all servers."""
        count = self._deployment.first_zone_routers
        names = [self._name(number) for number in range(count)]
        await self._cut_off(names, fault, components.ZONE_LINKS)

    async def _cut_off(
        self, names: Sequence[str], fault: plan.Fault, *also: str
    ) -> None:
        """Cut routers off, unless one of them is."""
        if self._cut.intersection(names):
            return
        self._cut.update(names)
        links = map(components.links_of, names)
        async with self._deployment.during_fault(*names, *links, *also):
            self._write(names, CUT_MODES[fault.kind])
            await asyncio.sleep(load_checks.STABLE_S + fault.for_s)
            self._write(names, '')
        self._cut.difference_update(names)

    def _write(self, names: Sequence[str], mode: str) -> None:
        for name in names:
            self._deployment.running.write_beside(name, cut_daemon.SUFFIX, mode)

    def _name(self, number: int) -> str:
        routers = self._deployment.site.routers
        return routers[number].name
