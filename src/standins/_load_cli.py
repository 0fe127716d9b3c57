"""The command line of the callers' load."""

import json
import sys
from pathlib import Path
from typing import Any

import anyio

from standins._load_run import run_load
from standins._load_settings import LoadSettings, read_classes


def send_load(
    addresses: str,
    classes: str = '',
    seed: int = 1,
    timeout_s: float = 10,
    **callers: Any,
) -> None:
    """Send a load and print one ``name=value`` line for each figure.

    Parameters
    ----------
    addresses
        Caller addresses, ``IP:PORT``, with commas between.
    classes
        A JSON file with a list of caller classes, in place of options.
    seed
        Draws the keys.
    timeout_s
        The longest wait for one answer, in seconds.
    **callers
        The fields of one caller class, such as ``--connections 20``.
    """
    rows = [callers]
    if classes:
        rows = json.loads(Path(classes).read_text(encoding='utf-8'))
    settings = LoadSettings(
        _split(addresses),
        read_classes(rows),
        seed,
        timeout_s,
    )
    report = anyio.run(run_load, settings)
    sys.stdout.writelines(f'{line}\n' for line in report.lines())


def _split(addresses: str | tuple[str, ...]) -> tuple[str, ...]:
    # fire turns a list with commas into a tuple.
    if isinstance(addresses, str):
        return tuple(addresses.split(','))
    return tuple(addresses)
