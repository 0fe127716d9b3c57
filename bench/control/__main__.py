"""Print what control costs a daemon, against the size of the fleet.

``python -m bench.control`` prints ``name=value`` lines for 3, 9, 27, 81, 243
and 690 daemons in virtual time: members, heartbeats, gossip and documents.
Bytes are those of real encoded frames, sent and received; what TCP/IP adds is
estimated apart. ``python -m bench.control 9 27`` measures just these sizes, and
``--losses`` adds the losses of the letter. Renewals of grants are measured by
``python -m bench.control.renewals``.
"""

import fire

from bench.control.calm import measure_calm, measure_change, measure_memory
from bench.control.losses import measure_all
from bench.control.settings import SIZES


def main(*sizes: int, losses: bool = False) -> None:
    """Measure each size.

    Parameters
    ----------
    sizes
        The numbers of daemons; the usual ones if there are none.
    losses
        Whether to measure losses too.
    """
    for daemons in sizes or SIZES:
        measure_change(measure_calm(daemons))
        measure_memory(daemons)
        if losses:
            measure_all(daemons)


if __name__ == '__main__':
    fire.Fire(main)
