"""Starts the product with its links to other daemons led through relays.

Usage: ``python -m standins.relayed_daemon SETTINGS``, with the relays in the
environment variable ``LABURNUMYARD_RELAYS``, a JSON object from the real
addresses to the relays' ones.
"""

import json
import os
import sys
from dataclasses import replace
from typing import Any

from laburnumyard.cli import main
from laburnumyard.wire import LinkPool

RELAYS_VARIABLE = 'LABURNUMYARD_RELAYS'


class RelayedOpening:
    """Opens a link at the relay's address in place of the real one.

    Parameters
    ----------
    relays
        The relay's address for each real one.
    """

    def __init__(self, relays: dict[str, str]) -> None:
        """Keep the pool's own way to open a link."""
        self.relays = relays
        self.open_directly = LinkPool.open

    def open(self, pool: LinkPool, slot: Any) -> Any:
        """Open the link of a slot, which goes on naming the real address."""
        real = slot.peer
        address = self.relays.get(real.address, real.address)
        slot.peer = replace(real, address=address)
        link = self.open_directly(pool, slot)
        slot.peer = real
        return link


def run() -> None:
    """Run the daemon."""
    opening = RelayedOpening(json.loads(os.environ[RELAYS_VARIABLE]))
    LinkPool.open = lambda pool, slot: opening.open(pool, slot)
    sys.argv.insert(1, 'daemon')
    main()


if __name__ == '__main__':
    run()
