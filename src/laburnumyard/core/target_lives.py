"""Which lives of targets have ended, and what proves it.

A target that has ended holds no keys, so others may get them at once. Each
proof is a statement of the target itself, or of the process at its address:

- the entry of the target names a later start at another address
  (``ended_lives``);
- the process at its address replies to an order that it is another target, or
  that it takes no orders (``Reply.GONE``).

An entry of another target with the same address proves nothing, whatever it
says: its writer may be wrong, and start times of two targets are read from two
clocks. An entry that is gone or says ``draining`` proves nothing either.
"""

from collections.abc import Iterator, Mapping

from laburnumyard.core.target_directory import Directory, TargetLife


def ended_lives(
    lives: Mapping[TargetLife, str], directory: Directory
) -> Iterator[TargetLife]:
    """Yield the lives that have ended, as their own targets state.

    Parameters
    ----------
    lives
        Addresses of known target lives.
    directory
        Current targets.
    """
    for life, address in lives.items():
        current = directory.get(life.target)
        if current and current.address != address:
            if is_later(current.life, life):
                yield life


def restarted_lives(
    lives: Mapping[TargetLife, str], directory: Directory
) -> Iterator[TargetLife]:
    """Yield the lives that a later start at the same address has replaced.

    Orders name the target but not its start. A renewal in flight may have
    reached the later start, which then must release the keys.

    Parameters
    ----------
    lives, directory
        As in ``ended_lives``.
    """
    for life, address in lives.items():
        current = directory.get(life.target)
        if current and current.address == address:
            if is_later(current.life, life):
                yield life


def is_later(life: TargetLife, other: TargetLife) -> bool:
    """Tell whether one life of a target started after another."""
    return life.started_at_ms > other.started_at_ms
