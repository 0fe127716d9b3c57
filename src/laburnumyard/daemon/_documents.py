"""Disseminates the configuration and the assignments, and applies them."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup
from expression import Result

from laburnumyard.clients import StoreClient, StoredValue, StoreError
from laburnumyard.clocks import boot_time, random_fraction
from laburnumyard.core import configuration, dissemination, ownership
from laburnumyard.core.ids import ServiceName, Version
from laburnumyard.daemon._assignment_store import head_key
from laburnumyard.daemon._chunk_writer import chunk_key
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import LinkPool

TICK_INTERVAL_S = 0.1
CONFIGURATION = dissemination.DocumentName('config')
ASSIGNMENT_PREFIX = 'assignment/'


class DocumentsRunner:
    """Feeds the documents' state machine and executes its effects.

    Parameters
    ----------
    view
        Receives each new configuration and assignment.
    store
        The platform's store.
    pool
        The links to the other daemons.
    tasks
        Task group for reads.
    on_configuration, on_snapshot
        Called after a version has been adopted.
    """

    def __init__(
        self,
        view: ClusterView,
        store: StoreClient,
        pool: LinkPool,
        tasks: TaskGroup,
        on_configuration: Callable[[], None],
        on_snapshot: Callable[[ServiceName, ownership.Snapshot], None],
    ) -> None:
        """Initialise with no document."""
        self.view = view
        self.store = store
        self.pool = pool
        self.tasks = tasks
        self.on_configuration = on_configuration
        self.on_snapshot = on_snapshot
        settings = dissemination.DisseminationSettings(
            calls_per_s=view.settings.store.calls_per_s / 2,
            call_burst=view.settings.store.call_burst,
        )
        self.documents = dissemination.Documents(
            settings, read_head, random_fraction
        )

    async def run(self) -> None:
        """Send periodic ticks to the documents until cancelled."""
        self.track_services(())
        while True:
            self.feed(dissemination.Tick())
            await anyio.sleep(TICK_INTERVAL_S)

    def track_services(self, services: Iterable[ServiceName]) -> None:
        """Track the configuration and these services' assignments."""
        names = (
            dissemination.DocumentName(f'{ASSIGNMENT_PREFIX}{service}')
            for service in services
        )
        self.feed(dissemination.NamesChanged((CONFIGURATION, *names)))

    def update_peers(self) -> None:
        """Update the peers that versions are sent to."""
        members = self.view.members
        centre = self.view.settings.daemon.data_centre
        others = [
            each for each in members.live() if each.daemon != self.view.name
        ]
        readers = members.readers(centre)
        # A leaving daemon is sent no new versions but still serves callers
        # for a while, so it reads them itself.
        is_reader = self.view.name in readers or self.view.is_leaving
        self.feed(
            dissemination.PeersChanged(
                near=tuple(
                    each.daemon for each in others if each.data_centre == centre
                ),
                far=tuple(
                    each.daemon for each in others if each.data_centre != centre
                ),
                readers=readers,
                is_reader=is_reader,
            ),
        )

    def publish(
        self,
        service: ServiceName,
        snapshot: ownership.Snapshot,
    ) -> None:
        """Adopt an assignment that this daemon wrote to the store."""
        chunks = ownership.split_assignment(snapshot.assignment)
        document = dissemination.Document(
            dissemination.DocumentName(f'{ASSIGNMENT_PREFIX}{service}'),
            snapshot.head.version,
            dissemination.StoredHead(
                snapshot.revision, ownership.encode_head(snapshot.head)
            ),
            {
                dissemination.Digest(chunk.digest): chunk.content
                for chunk in chunks
            },
        )
        self.feed(dissemination.Published(document))

    def feed(self, event: object) -> None:
        """Pass an event to the documents and execute the effects."""
        for effect in self.documents.handle(event, boot_time()):
            self.carry_out(effect)
        self.view.members.state.documents_digest = self.documents.digest()

    @singledispatchmethod
    def carry_out(self, effect: dissemination.Effect) -> None:
        """Execute one effect of the documents."""
        raise TypeError(f'no handler for effect {effect!r}; register one')

    @carry_out.register
    def _send(self, effect: dissemination.Send) -> None:
        peer = self.view.peer(effect.daemon)
        if peer is not None:
            self.pool.send(peer, effect.message)

    @carry_out.register
    def _read_store(self, effect: dissemination.ReadStore) -> None:
        self.tasks.start_soon(self._read_head, effect)

    @carry_out.register
    def _read_chunks(self, effect: dissemination.ReadChunks) -> None:
        self.tasks.start_soon(self._fetch_chunks, effect)

    @carry_out.register
    def _log_refused(self, effect: dissemination.LogRejected) -> None:
        log_event(
            Event.ADOPTED,
            'WARNING',
            document=effect.name,
            refused=effect.reason,
        )

    @carry_out.register
    def _adopt(self, effect: dissemination.Adopt) -> None:
        document = effect.document
        if document.name == CONFIGURATION:
            problem = self._adopt_configuration(document)
        else:
            problem = self._adopt_assignment(document)
        log_event(
            Event.ADOPTED,
            'ERROR' if problem else 'INFO',
            document=document.name,
            version=document.version,
            source=effect.source,
            problem=problem or 'none',
        )

    def _adopt_configuration(self, document: dissemination.Document) -> str:
        head = configuration.decode_head(document.head.content)
        if head.is_error():
            return str(head.error)
        encoded = configuration.EncodedConfiguration(
            head.ok.files, document.chunks
        )
        found = configuration.decode_configuration(encoded)
        if found.is_error():
            return str(found.error[0])
        self.view.configuration = found.ok
        self.view.configuration_version = head.ok.version
        self.track_services(found.ok.services)
        self.on_configuration()
        return ''

    def _adopt_assignment(self, document: dissemination.Document) -> str:
        service = ServiceName(document.name.removeprefix(ASSIGNMENT_PREFIX))
        head = ownership.decode_head(document.head.content)
        if head.is_error():
            return head.error.detail
        found = ownership.assemble(service, head.ok, document.chunks)
        if found.is_error():
            return found.error.detail
        snapshot = ownership.Snapshot(head.ok, found.ok, document.head.revision)
        self.view.apply_snapshot(service, snapshot)
        self.on_snapshot(service, snapshot)
        return ''

    async def _read_head(self, effect: dissemination.ReadStore) -> None:
        stored = await self._fetch_head(effect)
        if stored.is_error():
            self.feed(dissemination.StoreFailed(effect.name))
        elif stored.ok is None:
            self.feed(dissemination.HeadUnchanged(effect.name))
        else:
            found = stored.ok
            head = dissemination.StoredHead(found.revision, found.content)
            self.feed(dissemination.HeadRead(effect.name, head))

    async def _fetch_head(
        self,
        effect: dissemination.ReadStore,
    ) -> Result[StoredValue | None, StoreError]:
        key = store_head_key(effect.name)
        if effect.after is None:
            return await self.store.read(key)
        wait = self.view.settings.store.watch_timeout_s
        return await self.store.wait_for_newer(key, effect.after, wait)

    async def _fetch_chunks(self, effect: dissemination.ReadChunks) -> None:
        chunks: dict[dissemination.Digest, bytes] = {}
        for digest in effect.digests:
            stored = await self.store.read(store_chunk_key(effect.name, digest))
            if stored.is_error() or stored.ok is None:
                self.feed(dissemination.StoreFailed(effect.name))
                return
            chunks[digest] = stored.ok.content
        self.feed(dissemination.ChunksRead(effect.name, chunks))


def read_head(
    name: dissemination.DocumentName,
    content: bytes,
) -> dissemination.HeadSummary | None:
    """Return version and digests of an unvalidated head of either kind."""
    if name == CONFIGURATION:
        head = configuration.decode_head(content)
        if head.is_error():
            return None
        return _summary(
            head.ok.version,
            (digest for file in head.ok.files for digest in file.digests),
        )
    found = ownership.decode_head(content)
    if found.is_error():
        return None
    return _summary(found.ok.version, found.ok.chunks)


def store_head_key(name: dissemination.DocumentName) -> str:
    """Return the store key of a document's head."""
    if name == CONFIGURATION:
        return configuration.HEAD_KEY
    return head_key(ServiceName(name.removeprefix(ASSIGNMENT_PREFIX)))


def store_chunk_key(
    name: dissemination.DocumentName,
    digest: dissemination.Digest,
) -> str:
    """Return the store key of a document's chunk."""
    if name == CONFIGURATION:
        return configuration.chunk_key(digest)
    return chunk_key(ServiceName(name.removeprefix(ASSIGNMENT_PREFIX)), digest)


def _summary(
    version: Version,
    digests: Iterable[str],
) -> dissemination.HeadSummary:
    named = tuple(map(dissemination.Digest, digests))
    return dissemination.HeadSummary(version, named)
