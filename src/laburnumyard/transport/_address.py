"""Parsing of ``IP:PORT`` addresses."""

import ipaddress

MAX_PORT = 65535


def parse_target_address(text: str) -> str:
    """Return the one form of an address that can be connected to.

    Parameters
    ----------
    text
        ``IP:PORT`` as another system wrote it.

    Raises
    ------
    ValueError
        If it is not the address of one host and a port above 0.
    """
    host, port = split_address(text)
    address = ipaddress.IPv4Address(host)
    if address.is_unspecified or address.is_multicast or not port:
        raise ValueError(
            f'{text!r:.60} is no address of a target; give IP:PORT of one host'
        )
    return f'{host}:{port}'


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
        raise ValueError(f'{address!r:.60} has no valid port; give IP:PORT')
    ipaddress.IPv4Address(host)
    return host, int(port)
