"""Addresses of the form ``ip:port``."""

import ipaddress
import re

MAX_PORT = 65535
_ADDRESS = re.compile('([0-9.]+):([1-9][0-9]{0,4})')


def check(address: str) -> None:
    """Check that a server can listen at an address.

    Raises:
        ValueError: It can't.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > MAX_PORT:
        raise ValueError(f'address {address!r}')
    ipaddress.IPv4Address(match[1])
