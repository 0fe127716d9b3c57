"""Faults that are switched on by name."""

from collections.abc import Mapping


def apply_faults(faults: object, changes: Mapping[str, object]) -> None:
    """Set the named faults.

    Raises
    ------
    AttributeError
        If there is no fault of a name.
    """
    for name, setting in changes.items():
        getattr(faults, name)
        setattr(faults, name, setting)
