"""Names of the components that faults affect."""

STORE = 'store'
SERVERS = 'servers'
# The links to servers of all routers in a zone.
ZONE_LINKS = 'zone links'
# An account that sends many times its usual load.
FLOOD = 'flood'


def restart_of(router: str) -> str:
    """Return the component name for restarts of a router."""
    return f'{router} restarts'


def freeze_of(router: str) -> str:
    """Return the component name for freezes of a router."""
    return f'{router} freezes'


def links_of(router: str) -> str:
    """Return the component name for the links of a router to servers."""
    return f'{router} links'
