"""A load at a fixed rate, without its start in the figures.

The requests that fall due while the load opens its connections wait for them;
at a rate near the limit it takes long until nothing waits any more.
"""

import sys
from statistics import quantiles
from types import MappingProxyType
from typing import Any

import anyio
import fire

from standins._load_settings import read_classes
from standins.load import LoadSettings, Outcome, run_load

LEFT_OUT_S = 2
PERMILLE = 1000
MS_PER_S = 1000
OK_STATUS = 200
PLACES = MappingProxyType({'p50': 500, 'p99': 990, 'p99.9': 999})


def settled(outcomes: list[Outcome]) -> list[Outcome]:
    """Return what was due after the start."""
    first = min(outcome.sent_s for outcome in outcomes)
    return [each for each in outcomes if each.sent_s >= first + LEFT_OUT_S]


def main(addresses: str, duration_s: float, **callers: Any) -> None:
    """Print one ``name=value`` line for each figure.

    Parameters
    ----------
    addresses
        One address of callers, ``IP:PORT``.
    duration_s
        The length of the load beside its start, in seconds.
    **callers
        The other fields of the caller class, such as ``--rate 100``.
    """
    row = {'duration_s': duration_s + LEFT_OUT_S, **callers}
    settings = LoadSettings(
        (addresses,), read_classes([row]), keep_outcomes=True
    )
    outcomes = settled(anyio.run(run_load, settings).outcomes)
    whole = [each for each in outcomes if each.status == OK_STATUS]
    taken = [each.ended_s - each.sent_s for each in whole]
    cuts = quantiles(taken, n=PERMILLE, method='inclusive')
    figures = {
        'sent': len(outcomes),
        'whole': len(whole),
        'whole_per_s': len(whole) / duration_s,
    }
    for name in PLACES:
        figures[f'{name}_ms'] = cuts[PLACES[name] - 1] * MS_PER_S
    for name in figures:
        sys.stdout.write(f'callers.{name}={figures[name]:.3f}\n')


if __name__ == '__main__':
    fire.Fire(main)
