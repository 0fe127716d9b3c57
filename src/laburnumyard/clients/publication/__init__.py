"""Publishes configurations to the store and reads them."""

from laburnumyard.clients.publication._errors import (
    Conflict,
    PublishError,
    PublishErrorKind,
)
from laburnumyard.clients.publication._publishing import (
    Proposal,
    Published,
    publish,
)
from laburnumyard.clients.publication._reading import (
    read_current,
    read_head,
    read_history,
    read_version,
)
from laburnumyard.clients.publication._store import Store

__all__ = (
    'Conflict',
    'Proposal',
    'PublishError',
    'PublishErrorKind',
    'Published',
    'Store',
    'publish',
    'read_current',
    'read_head',
    'read_history',
    'read_version',
)
