"""The objects of all files, with their source files."""

import re
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel

from laburnumyard.core.configuration._index import by_name
from laburnumyard.core.file_problems import Problem, show_value
from laburnumyard.schema._generated.objects import Objects

_WORD_START = re.compile('(?<!^)(?=[A-Z])')


@dataclass(frozen=True, slots=True)
class ObjectSet:
    """The objects of all files before their references are checked.

    Parameters
    ----------
    objects
        The objects by kind.
    sources
        The file of each object, by ``id(object)``.
    """

    objects: Objects = field(default_factory=Objects)
    sources: dict[int, str] = field(default_factory=dict)

    def add(self, file: str, found: Objects) -> None:
        """Add the objects of one file.

        Parameters
        ----------
        file
            The name of the file.
        found
            Its objects.
        """
        for kind in Objects.model_fields:
            objects = getattr(found, kind)
            getattr(self.objects, kind).extend(objects)
            self.sources.update({id(item): file for item in objects})

    def names(self, kind: str) -> Mapping[str, Any]:
        """Return the objects of a kind by name; duplicates keep the last."""
        return by_name(getattr(self.objects, kind))

    def file_of(self, item: BaseModel) -> str:
        """Return the file that an object came from."""
        return self.sources[id(item)]

    def problem(
        self,
        item: BaseModel,
        place: str,
        found: object,
        remedy: str,
    ) -> Problem:
        """Return a problem with an object.

        Parameters
        ----------
        item
            The object.
        place
            Its field.
        found
            The invalid value; None if the problem is the whole object.
        remedy
            What to write instead.

        Returns
        -------
        Problem
            The problem with the file and the name of the object.
        """
        return Problem(
            self.file_of(item),
            title_of(item),
            place,
            '' if found is None else show_value(found),
            remedy,
        )

    def duplicates(self) -> Iterator[tuple[BaseModel, BaseModel]]:
        """Yield each duplicate object with the first one of the same name."""
        for kind in Objects.model_fields:
            taken: dict[str, BaseModel] = {}
            for item in getattr(self.objects, kind):
                first = taken.setdefault(item.name, item)
                if first is not item:
                    yield item, first

    def by_service(self, kind: str) -> Mapping[str, list[Any]]:
        """Return the objects of a kind, grouped by their service."""
        groups = defaultdict(list)
        for item in getattr(self.objects, kind):
            groups[item.service].append(item)
        return groups


def title_of(item: BaseModel) -> str:
    """Return the kind and name of an object, such as ``target orders-1``."""
    kind = _WORD_START.sub('_', type(item).__name__).lower()
    return f'{kind} {item.name}'
