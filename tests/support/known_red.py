"""Tests that fail for a known fault: CI passes over them and prints them."""

from pathlib import Path

LIST = Path(__file__).resolve().parent.parent.parent / 'KNOWN-RED.txt'


def known_red_tests() -> frozenset[str]:
    """Return the node ids in KNOWN-RED.txt: the lines that start with one.

    An entry is a node id on a line of its own, followed by indented lines:
    command and seed, what was seen, issue.
    """
    if not LIST.exists():
        return frozenset()
    lines = LIST.read_text().splitlines()
    return frozenset(line.strip() for line in lines if line.startswith('tests'))
