"""Parsing of ``IP:PORT`` addresses."""

import ipaddress

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IPv4 address and port.

    Parameters
    ----------
    address
        ``IP:PORT``.

    Raises
    ------
    ValueError
        If the address is not an IPv4 address and a port.

    Examples
    --------
    >>> split_address('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdecimal() and int(port) <= MAX_PORT
    if not is_port:
        raise ValueError(f'{address!r} has no valid port; give IP:PORT')
    ipaddress.IPv4Address(host)
    return host, int(port)
