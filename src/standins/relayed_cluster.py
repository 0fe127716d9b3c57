"""A small deployment whose links between daemons can be cut."""

import json
import os
import sys
from pathlib import Path

from standins.cluster import Cluster, ClusterPlan
from standins.link_relay import LinkRelays
from standins.relayed_daemon import RELAYS_VARIABLE


class RelayedCluster(Cluster):
    """A deployment with a relay for each ordered pair of daemons.

    Parameters
    ----------
    plan
        The sizes.
    folder
        Where settings and logs are written.
    """

    def __init__(self, plan: ClusterPlan, folder: Path) -> None:
        """Bind the relays."""
        super().__init__(plan, folder)
        self.relays = LinkRelays(
            {daemon.name: daemon.peers for daemon in self.places.daemons}
        )

    def start(self) -> None:
        """Start the relays, then everything else."""
        self.relays.start()
        super().start()

    def start_daemon(self, name: str) -> None:
        """Start one daemon that links to the others through relays."""
        settings = str(self.folder / f'{name}.toml')
        relays = json.dumps(self.relays.addresses_for(name))
        self.spawn(
            name,
            (sys.executable, '-m', 'standins.relayed_daemon', settings),
            os.environ | {RELAYS_VARIABLE: relays},
        )

    def stop(self) -> None:
        """End every process and the relays."""
        super().stop()
        self.relays.stop()
