"""Parsing and validation of ``IP:PORT`` addresses."""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import NamedTuple

_ADDRESS_PATTERN = re.compile(r'[0-9.]+:[0-9]{1,5}')
_LAST_PORT = 65535
_ANY_HOST = '0.0.0.0'


class Endpoint(NamedTuple):
    """The two parts of an address.

    Parameters
    ----------
    host
        The IP address.
    port
        The port, from 1 to 65535 if the address is valid.
    """

    host: str
    port: int


def parse_address(address: str) -> Endpoint:
    """Split an address such as ``10.0.0.1:7000``.

    Parameters
    ----------
    address
        Text that matches the pattern in the schema.

    Returns
    -------
    Endpoint
        Host and port.

    Examples
    --------
    >>> parse_address('10.0.0.1:7000')
    Endpoint(host='10.0.0.1', port=7000)
    """
    host, _, port = address.partition(':')
    return Endpoint(host, int(port))


def find_address_remedy(address: str) -> str:
    """Return the remedy for an invalid address, or '' if it is valid.

    Parameters
    ----------
    address
        Any text.

    Returns
    -------
    str
        What to write instead.
    """
    if not _ADDRESS_PATTERN.fullmatch(address):
        return 'give an IP number and a port, such as 10.0.0.1:7000'
    endpoint = parse_address(address)
    try:
        IPv4Address(endpoint.host)
    except AddressValueError as invalid:
        return f'give an IP number ({invalid})'
    if not 0 < endpoint.port <= _LAST_PORT:
        return f'give a port from 1 to {_LAST_PORT}'
    return ''


def conflicts(address: str, other: str) -> bool:
    """Return whether two listening addresses conflict."""
    first, second = parse_address(address), parse_address(other)
    hosts = {first.host, second.host}
    same_host = len(hosts) == 1 or _ANY_HOST in hosts
    return same_host and first.port == second.port
