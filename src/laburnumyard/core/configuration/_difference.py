"""Differences between two configurations."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from pydantic import BaseModel

from laburnumyard.core.configuration._index import Configuration, by_name
from laburnumyard.schema._generated.objects import Objects


class Action(Enum):
    """Kind of change of an object."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two configurations.

    Parameters
    ----------
    action
        The kind of change.
    kind
        The kind of the object, such as ``target``.
    name
        Its name.
    field
        The changed field; empty if the whole object was added or removed.
    old
        The old value as text; for a list, the removed items.
    new
        The new value as text; for a list, the added items.
    """

    action: Action
    kind: str
    name: str
    field: str = ''
    old: str = ''
    new: str = ''

    def __str__(self) -> str:
        """Return the change as one line."""
        action = self.action.value
        subject = f'{action} {self.kind} {self.name}'
        if not self.field:
            return subject
        return f'{subject}: {self.field} {self.old} -> {self.new}'


def difference(
    old: Configuration | None,
    new: Configuration,
) -> tuple[Change, ...]:
    """Return the changes from one configuration to another.

    Parameters
    ----------
    old
        The earlier configuration; None if none was published before.
    new
        The later configuration.

    Returns
    -------
    tuple of Change
        Changes in the order of kinds and names.
    """
    earlier = old.objects if old else Objects()
    return tuple(
        change
        for kind in Objects.model_fields
        for change in _compare_kind(
            kind,
            by_name(getattr(earlier, kind)),
            by_name(getattr(new.objects, kind)),
        )
    )


def _compare_kind(
    kind: str,
    old: Mapping[str, BaseModel],
    new: Mapping[str, BaseModel],
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Change(Action.ADDED, kind, name)
        elif name not in new:
            yield Change(Action.REMOVED, kind, name)
        else:
            yield from _compare_objects(kind, old[name], new[name])


def _compare_objects(
    kind: str,
    old: BaseModel,
    new: BaseModel,
) -> Iterator[Change]:
    before, after = old.model_dump(mode='json'), new.model_dump(mode='json')
    for field, found in after.items():
        if before[field] != found:
            texts = _show_values(before[field], found)
            yield Change(Action.CHANGED, kind, after['name'], field, *texts)


def _show_values(old: object, new: object) -> tuple[str, str]:
    if isinstance(old, list) and isinstance(new, list):
        removed_items = [item for item in old if item not in new]
        added_items = [item for item in new if item not in old]
        if removed_items or added_items:
            return _show_items(removed_items), _show_items(added_items)
    return repr(old), repr(new)


def _show_items(items: list) -> str:
    texts = map(_show_item, items)
    return ', '.join(texts) or 'nothing'


def _show_item(item: object) -> str:
    if isinstance(item, dict):
        return '/'.join(map(str, item.values()))
    return str(item)
