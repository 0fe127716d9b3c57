"""Publishes a configuration by one compare-and-swap of its head."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from laburnumyard.clients.publication._errors import (
    Conflict,
    PublishError,
    PublishErrorKind,
)
from laburnumyard.clients.publication._reading import (
    StoredHead,
    read_current,
    read_head,
    read_version,
)
from laburnumyard.clients.publication._store import Store
from laburnumyard.clients.publication._swapping import (
    Outcome,
    swap_head,
    write_chunks,
    write_history_entry,
)
from laburnumyard.core.configuration import (
    Change,
    Configuration,
    ConfigurationHead,
    EncodedConfiguration,
    PublishedConfiguration,
    difference,
    encode_configuration,
)
from laburnumyard.core.ids import ChangeId, Version


@dataclass(frozen=True, slots=True)
class Proposal:
    """A configuration that an operator wants to publish.

    Parameters
    ----------
    configuration
        The complete, validated set of objects.
    base_version
        The version that the operator edited; 0 if there was none.
    change_id
        A unique random identifier of the publication.
    author
        Name of the operator.
    time
        Time of publication, in ISO 8601 with the UTC offset.
    note
        Reason for the change.
    """

    configuration: Configuration
    base_version: Version
    change_id: ChangeId
    author: str
    time: str
    note: str


@dataclass(frozen=True, slots=True)
class Published:
    """A publication that was accepted.

    Parameters
    ----------
    head
        The head now in the store.
    changes
        Differences from the base configuration.
    is_in_history
        Whether the history entry was written; otherwise the next publication
        writes it.
    """

    head: ConfigurationHead
    changes: tuple[Change, ...]
    is_in_history: bool


async def publish(
    store: Store,
    proposal: Proposal,
) -> Result[Published, PublishError]:
    """Publish a configuration.

    Parameters
    ----------
    store
        The store's client.
    proposal
        The configuration and the version that it replaces.

    Returns
    -------
    Result
        The publication. ``CONFLICT`` if the base is no longer current;
        ``OUTCOME_UNKNOWN`` if the store did not confirm whether the swap was
        applied: look up the change id in the history before retrying.
    """
    current = await read_head(store)
    if current.is_error():
        return Error(current.error)
    base = current.ok
    found_version = base.head.version if base else 0
    if found_version != proposal.base_version:
        return await _explain_conflict(store, proposal)
    encoded = encode_configuration(proposal.configuration)
    prepared = await _write_prerequisites(store, base, encoded)
    if prepared.is_error():
        return Error(prepared.error)
    return await _replace_head(store, proposal, base, encoded)


async def _write_prerequisites(
    store: Store,
    base: StoredHead | None,
    encoded: EncodedConfiguration,
) -> Result[None, PublishError]:
    # The base is added to the history before it is replaced, so that a
    # publisher whose response was lost can find its change id there.
    if base is not None:
        entered = await write_history_entry(store, base.head)
        if entered.is_error():
            return entered
    return await write_chunks(store, encoded)


async def _replace_head(
    store: Store,
    proposal: Proposal,
    base: StoredHead | None,
    encoded: EncodedConfiguration,
) -> Result[Published, PublishError]:
    head = _make_head(proposal, encoded)
    match await swap_head(store, head, base):
        case Outcome.APPLIED:
            return await _record_published(store, proposal, head)
        case Outcome.SUPERSEDED:
            return await _explain_conflict(store, proposal)
        case _:
            return Error(_outcome_unknown(head))


def _make_head(
    proposal: Proposal,
    encoded: EncodedConfiguration,
) -> ConfigurationHead:
    return ConfigurationHead(
        version=Version(proposal.base_version + 1),
        files=encoded.files,
        change_id=proposal.change_id,
        author=proposal.author,
        time=proposal.time,
        note=proposal.note,
    )


async def _record_published(
    store: Store,
    proposal: Proposal,
    head: ConfigurationHead,
) -> Result[Published, PublishError]:
    entered = await write_history_entry(store, head)
    base = await _read_base(store, proposal)
    changes = difference(base, proposal.configuration)
    return Ok(Published(head, changes, entered.is_ok()))


async def _read_base(store: Store, proposal: Proposal) -> Configuration | None:
    base = await read_version(store, proposal.base_version)
    if base.is_error() or base.ok is None:
        return None
    return base.ok.configuration


async def _explain_conflict(
    store: Store,
    proposal: Proposal,
) -> Result[Published, PublishError]:
    answer = await read_current(store)
    if answer.is_error():
        return Error(answer.error)
    current = answer.ok
    if current is None:
        return Error(_base_not_published(proposal, 0))
    if current.head.version < proposal.base_version:
        return Error(_base_not_published(proposal, current.head.version))
    base = await _read_base(store, proposal)
    conflict = _compare(base, current, proposal)
    newest, author = current.head.version, current.head.author
    detail = (
        f'the current version is {newest} by {author}, not '
        f'{proposal.base_version}; merge both changes, then publish again'
    )
    return Error(PublishError(PublishErrorKind.CONFLICT, detail, conflict))


def _compare(
    base: Configuration | None,
    current: PublishedConfiguration,
    proposal: Proposal,
) -> Conflict:
    if base is None:
        changes = difference(current.configuration, proposal.configuration)
        return Conflict(current.head, ours=changes, theirs=())
    return Conflict(
        current.head,
        ours=difference(base, proposal.configuration),
        theirs=difference(base, current.configuration),
    )


def _base_not_published(proposal: Proposal, newest: int) -> PublishError:
    detail = (
        f'base {proposal.base_version} was never published; the newest '
        f'version is {newest}'
    )
    return PublishError(PublishErrorKind.REFUSED, detail)


def _outcome_unknown(head: ConfigurationHead) -> PublishError:
    detail = (
        f'the store did not confirm if change {head.change_id} was applied; '
        'look for it in the history before publishing again'
    )
    return PublishError(PublishErrorKind.OUTCOME_UNKNOWN, detail)
