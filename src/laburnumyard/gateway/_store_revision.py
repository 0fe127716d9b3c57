"""Revisions of the store that keep their order when its history is lost.

A store that comes back from an older copy gives out revisions again. The era,
which rises each time, is part of the revisions that gateways compare, so that
each revision of a later era is newer than all of the earlier ones. Fencing
tokens and epochs are such revisions.
"""

# Targets accept tokens of up to 60 bits: 2**20 eras of 2**40 revisions.
POSITION_BITS = 40


def revision_in(era: int, position: int) -> int:
    """Return the revision at a position of an era; 0 stays 0.

    Parameters
    ----------
    era
        Number of the era; 0 if the store states none.
    position
        Revision as the store counts it; 0 for a key that does not exist.
    """
    return (era << POSITION_BITS) | position if position else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> POSITION_BITS


def position_of(revision: int) -> int:
    """Return a revision as the store counts it."""
    return revision & ((1 << POSITION_BITS) - 1)
