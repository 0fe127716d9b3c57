"""Messages between daemons, generated from messages.capnp."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

capnp.remove_import_hook()
_schema = capnp.load(
    str(Path(__file__).resolve().parent.parent / 'messages.capnp'),
)



@dataclass(frozen=True, slots=True)
class Ask:
    """The message ``Ask`` of messages.capnp."""

    number: int
    service: str
    attempt_id: str
    route: str
    rank: int
    key: int
    data_centre: str
    due_ms: int
    expires_ms: int
    returned: bool
    excluded: tuple[TargetRef, ...]
    fingerprint: bytes
    sends: int
    cost_class: int
    waited_ms: int


def _write_ask(message: Ask, builder: Any) -> None:
    builder.number = message.number
    builder.service = message.service
    builder.attemptId = message.attempt_id
    builder.route = message.route
    builder.rank = message.rank
    builder.key = message.key
    builder.dataCentre = message.data_centre
    builder.dueMs = message.due_ms
    builder.expiresMs = message.expires_ms
    builder.returned = message.returned
    parts = message.excluded
    slots = builder.init('excluded', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_target_ref(part, slot)
    builder.fingerprint = message.fingerprint
    builder.sends = message.sends
    builder.costClass = message.cost_class
    builder.waitedMs = message.waited_ms


def _read_ask(reader: Any) -> Ask:
    get = reader._get
    return Ask(
        number=get('number'),
        service=get('service'),
        attempt_id=get('attemptId'),
        route=get('route'),
        rank=get('rank'),
        key=get('key'),
        data_centre=get('dataCentre'),
        due_ms=get('dueMs'),
        expires_ms=get('expiresMs'),
        returned=get('returned'),
        excluded=tuple(map(_read_target_ref, get('excluded'))),
        fingerprint=get('fingerprint'),
        sends=get('sends'),
        cost_class=get('costClass'),
        waited_ms=get('waitedMs'),
    )


@dataclass(frozen=True, slots=True)
class Assignment:
    """The message ``Assignment`` of messages.capnp."""

    service: str
    ranges: tuple[OwnedRange, ...]


def _write_assignment(message: Assignment, builder: Any) -> None:
    builder.service = message.service
    parts = message.ranges
    slots = builder.init('ranges', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_owned_range(part, slot)


def _read_assignment(reader: Any) -> Assignment:
    get = reader._get
    return Assignment(
        service=get('service'),
        ranges=tuple(map(_read_owned_range, get('ranges'))),
    )


@dataclass(frozen=True, slots=True)
class Cancel:
    """The message ``Cancel`` of messages.capnp."""

    number: int


def _write_cancel(message: Cancel, builder: Any) -> None:
    builder.number = message.number


def _read_cancel(reader: Any) -> Cancel:
    get = reader._get
    return Cancel(
        number=get('number'),
    )


@dataclass(frozen=True, slots=True)
class ChunkPatch:
    """The message ``ChunkPatch`` of messages.capnp."""

    base: str
    content: bytes


def _write_chunk_patch(message: ChunkPatch, builder: Any) -> None:
    builder.base = message.base
    builder.content = message.content


def _read_chunk_patch(reader: Any) -> ChunkPatch:
    get = reader._get
    return ChunkPatch(
        base=get('base'),
        content=get('content'),
    )


@dataclass(frozen=True, slots=True)
class Death:
    """The message ``Death`` of messages.capnp."""

    name: str


def _write_death(message: Death, builder: Any) -> None:
    builder.name = message.name


def _read_death(reader: Any) -> Death:
    get = reader._get
    return Death(
        name=get('name'),
    )


@dataclass(frozen=True, slots=True)
class DocumentPart:
    """The message ``DocumentPart`` of messages.capnp."""

    name: str
    version: int
    base_version: int
    patch_bytes: int
    offset: int
    content: bytes


def _write_document_part(message: DocumentPart, builder: Any) -> None:
    builder.name = message.name
    builder.version = message.version
    builder.baseVersion = message.base_version
    builder.patchBytes = message.patch_bytes
    builder.offset = message.offset
    builder.content = message.content


def _read_document_part(reader: Any) -> DocumentPart:
    get = reader._get
    return DocumentPart(
        name=get('name'),
        version=get('version'),
        base_version=get('baseVersion'),
        patch_bytes=get('patchBytes'),
        offset=get('offset'),
        content=get('content'),
    )


@dataclass(frozen=True, slots=True)
class DocumentPatch:
    """The message ``DocumentPatch`` of messages.capnp."""

    head: bytes
    chunks: tuple[ChunkPatch, ...]
    revision: int


def _write_document_patch(message: DocumentPatch, builder: Any) -> None:
    builder.head = message.head
    parts = message.chunks
    slots = builder.init('chunks', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_chunk_patch(part, slot)
    builder.revision = message.revision


def _read_document_patch(reader: Any) -> DocumentPatch:
    get = reader._get
    return DocumentPatch(
        head=get('head'),
        chunks=tuple(map(_read_chunk_patch, get('chunks'))),
        revision=get('revision'),
    )


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """The message ``DocumentVersion`` of messages.capnp."""

    name: str
    version: int
    confirmed: bool
    confirmed_age_ms: int


def _write_document_version(message: DocumentVersion, builder: Any) -> None:
    builder.name = message.name
    builder.version = message.version
    builder.confirmed = message.confirmed
    builder.confirmedAgeMs = message.confirmed_age_ms


def _read_document_version(reader: Any) -> DocumentVersion:
    get = reader._get
    return DocumentVersion(
        name=get('name'),
        version=get('version'),
        confirmed=get('confirmed'),
        confirmed_age_ms=get('confirmedAgeMs'),
    )


@dataclass(frozen=True, slots=True)
class Done:
    """The message ``Done`` of messages.capnp."""

    number: int
    outcome: str
    payload_bytes: int
    rate_limit: str
    load_running: int
    load_waiting: int
    load_slots: int
    load_slowdown: int


def _write_done(message: Done, builder: Any) -> None:
    builder.number = message.number
    builder.outcome = message.outcome
    builder.payloadBytes = message.payload_bytes
    builder.rateLimit = message.rate_limit
    builder.loadRunning = message.load_running
    builder.loadWaiting = message.load_waiting
    builder.loadSlots = message.load_slots
    builder.loadSlowdown = message.load_slowdown


def _read_done(reader: Any) -> Done:
    get = reader._get
    return Done(
        number=get('number'),
        outcome=get('outcome'),
        payload_bytes=get('payloadBytes'),
        rate_limit=get('rateLimit'),
        load_running=get('loadRunning'),
        load_waiting=get('loadWaiting'),
        load_slots=get('loadSlots'),
        load_slowdown=get('loadSlowdown'),
    )


@dataclass(frozen=True, slots=True)
class DrainTarget:
    """The message ``DrainTarget`` of messages.capnp."""

    target: str
    draining: bool


def _write_drain_target(message: DrainTarget, builder: Any) -> None:
    builder.target = message.target
    builder.draining = message.draining


def _read_drain_target(reader: Any) -> DrainTarget:
    get = reader._get
    return DrainTarget(
        target=get('target'),
        draining=get('draining'),
    )


@dataclass(frozen=True, slots=True)
class Explain:
    """The message ``Explain`` of messages.capnp."""

    number: int
    service: str
    route: str
    rank: int
    key: int
    data_centre: str
    due_ms: int
    expires_ms: int
    cost_class: int


def _write_explain(message: Explain, builder: Any) -> None:
    builder.number = message.number
    builder.service = message.service
    builder.route = message.route
    builder.rank = message.rank
    builder.key = message.key
    builder.dataCentre = message.data_centre
    builder.dueMs = message.due_ms
    builder.expiresMs = message.expires_ms
    builder.costClass = message.cost_class


def _read_explain(reader: Any) -> Explain:
    get = reader._get
    return Explain(
        number=get('number'),
        service=get('service'),
        route=get('route'),
        rank=get('rank'),
        key=get('key'),
        data_centre=get('dataCentre'),
        due_ms=get('dueMs'),
        expires_ms=get('expiresMs'),
        cost_class=get('costClass'),
    )


@dataclass(frozen=True, slots=True)
class Explained:
    """The message ``Explained`` of messages.capnp."""

    number: int
    content: bytes


def _write_explained(message: Explained, builder: Any) -> None:
    builder.number = message.number
    builder.content = message.content


def _read_explained(reader: Any) -> Explained:
    get = reader._get
    return Explained(
        number=get('number'),
        content=get('content'),
    )


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """The message ``FetchDocument`` of messages.capnp."""

    name: str
    known_version: int
    version: int
    offset: int


def _write_fetch_document(message: FetchDocument, builder: Any) -> None:
    builder.name = message.name
    builder.knownVersion = message.known_version
    builder.version = message.version
    builder.offset = message.offset


def _read_fetch_document(reader: Any) -> FetchDocument:
    get = reader._get
    return FetchDocument(
        name=get('name'),
        known_version=get('knownVersion'),
        version=get('version'),
        offset=get('offset'),
    )


@dataclass(frozen=True, slots=True)
class FetchItems:
    """The message ``FetchItems`` of messages.capnp."""

    number: int
    after: int
    config_after: int
    coordinators_after: int
    wait_ms: int
    milli_cores: int


def _write_fetch_items(message: FetchItems, builder: Any) -> None:
    builder.number = message.number
    builder.after = message.after
    builder.configAfter = message.config_after
    builder.coordinatorsAfter = message.coordinators_after
    builder.waitMs = message.wait_ms
    builder.milliCores = message.milli_cores


def _read_fetch_items(reader: Any) -> FetchItems:
    get = reader._get
    return FetchItems(
        number=get('number'),
        after=get('after'),
        config_after=get('configAfter'),
        coordinators_after=get('coordinatorsAfter'),
        wait_ms=get('waitMs'),
        milli_cores=get('milliCores'),
    )


@dataclass(frozen=True, slots=True)
class GatewayRef:
    """The message ``GatewayRef`` of messages.capnp."""

    name: str
    address: str
    incarnation: int


def _write_gateway_ref(message: GatewayRef, builder: Any) -> None:
    builder.name = message.name
    builder.address = message.address
    builder.incarnation = message.incarnation


def _read_gateway_ref(reader: Any) -> GatewayRef:
    get = reader._get
    return GatewayRef(
        name=get('name'),
        address=get('address'),
        incarnation=get('incarnation'),
    )


@dataclass(frozen=True, slots=True)
class Gossip:
    """The message ``Gossip`` of messages.capnp."""

    members: tuple[Member, ...]


def _write_gossip(message: Gossip, builder: Any) -> None:
    parts = message.members
    slots = builder.init('members', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_member(part, slot)


def _read_gossip(reader: Any) -> Gossip:
    get = reader._get
    return Gossip(
        members=tuple(map(_read_member, get('members'))),
    )


@dataclass(frozen=True, slots=True)
class GuardAnswer:
    """The message ``GuardAnswer`` of messages.capnp."""

    number: int
    accepted: bool
    term: int
    sequence: int
    clock_ms: int
    ranges: tuple[OwnedRange, ...]
    busy: int


def _write_guard_answer(message: GuardAnswer, builder: Any) -> None:
    builder.number = message.number
    builder.accepted = message.accepted
    builder.term = message.term
    builder.sequence = message.sequence
    builder.clockMs = message.clock_ms
    parts = message.ranges
    slots = builder.init('ranges', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_owned_range(part, slot)
    builder.busy = message.busy


def _read_guard_answer(reader: Any) -> GuardAnswer:
    get = reader._get
    return GuardAnswer(
        number=get('number'),
        accepted=get('accepted'),
        term=get('term'),
        sequence=get('sequence'),
        clock_ms=get('clockMs'),
        ranges=tuple(map(_read_owned_range, get('ranges'))),
        busy=get('busy'),
    )


@dataclass(frozen=True, slots=True)
class GuardGrant:
    """The message ``GuardGrant`` of messages.capnp."""

    number: int
    service: str
    target: str
    term: int
    sequence: int
    clock_ms: int
    lifetime_ms: int
    ranges: tuple[OwnedRange, ...]
    replaces: bool


def _write_guard_grant(message: GuardGrant, builder: Any) -> None:
    builder.number = message.number
    builder.service = message.service
    builder.target = message.target
    builder.term = message.term
    builder.sequence = message.sequence
    builder.clockMs = message.clock_ms
    builder.lifetimeMs = message.lifetime_ms
    parts = message.ranges
    slots = builder.init('ranges', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_owned_range(part, slot)
    builder.replaces = message.replaces


def _read_guard_grant(reader: Any) -> GuardGrant:
    get = reader._get
    return GuardGrant(
        number=get('number'),
        service=get('service'),
        target=get('target'),
        term=get('term'),
        sequence=get('sequence'),
        clock_ms=get('clockMs'),
        lifetime_ms=get('lifetimeMs'),
        ranges=tuple(map(_read_owned_range, get('ranges'))),
        replaces=get('replaces'),
    )


@dataclass(frozen=True, slots=True)
class GuardSeal:
    """The message ``GuardSeal`` of messages.capnp."""

    number: int
    service: str
    target: str
    term: int


def _write_guard_seal(message: GuardSeal, builder: Any) -> None:
    builder.number = message.number
    builder.service = message.service
    builder.target = message.target
    builder.term = message.term


def _read_guard_seal(reader: Any) -> GuardSeal:
    get = reader._get
    return GuardSeal(
        number=get('number'),
        service=get('service'),
        target=get('target'),
        term=get('term'),
    )


@dataclass(frozen=True, slots=True)
class HandOver:
    """The message ``HandOver`` of messages.capnp."""

    service: str
    data_centre: str


def _write_hand_over(message: HandOver, builder: Any) -> None:
    builder.service = message.service
    builder.dataCentre = message.data_centre


def _read_hand_over(reader: Any) -> HandOver:
    get = reader._get
    return HandOver(
        service=get('service'),
        data_centre=get('dataCentre'),
    )


@dataclass(frozen=True, slots=True)
class Header:
    """The message ``Header`` of messages.capnp."""

    name: str
    value: str


def _write_header(message: Header, builder: Any) -> None:
    builder.name = message.name
    builder.value = message.value


def _read_header(reader: Any) -> Header:
    get = reader._get
    return Header(
        name=get('name'),
        value=get('value'),
    )


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The message ``Heartbeat`` of messages.capnp."""

    daemon: str
    incarnation: int
    sequence: int
    leaving: bool
    digest: int
    interval_ms: int
    documents: int


def _write_heartbeat(message: Heartbeat, builder: Any) -> None:
    builder.daemon = message.daemon
    builder.incarnation = message.incarnation
    builder.sequence = message.sequence
    builder.leaving = message.leaving
    builder.digest = message.digest
    builder.intervalMs = message.interval_ms
    builder.documents = message.documents


def _read_heartbeat(reader: Any) -> Heartbeat:
    get = reader._get
    return Heartbeat(
        daemon=get('daemon'),
        incarnation=get('incarnation'),
        sequence=get('sequence'),
        leaving=get('leaving'),
        digest=get('digest'),
        interval_ms=get('intervalMs'),
        documents=get('documents'),
    )


@dataclass(frozen=True, slots=True)
class Hello:
    """The message ``Hello`` of messages.capnp."""

    daemon: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str


def _write_hello(message: Hello, builder: Any) -> None:
    builder.daemon = message.daemon
    builder.incarnation = message.incarnation
    builder.dataCentre = message.data_centre
    builder.region = message.region
    builder.peerAddress = message.peer_address


def _read_hello(reader: Any) -> Hello:
    get = reader._get
    return Hello(
        daemon=get('daemon'),
        incarnation=get('incarnation'),
        data_centre=get('dataCentre'),
        region=get('region'),
        peer_address=get('peerAddress'),
    )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The message ``LoadReport`` of messages.capnp."""

    service: str
    ranges: tuple[RangeLoad, ...]


def _write_load_report(message: LoadReport, builder: Any) -> None:
    builder.service = message.service
    parts = message.ranges
    slots = builder.init('ranges', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_range_load(part, slot)


def _read_load_report(reader: Any) -> LoadReport:
    get = reader._get
    return LoadReport(
        service=get('service'),
        ranges=tuple(map(_read_range_load, get('ranges'))),
    )


@dataclass(frozen=True, slots=True)
class Member:
    """The message ``Member`` of messages.capnp."""

    daemon: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str
    leaving: bool
    suspected: bool
    refutation: int


def _write_member(message: Member, builder: Any) -> None:
    builder.daemon = message.daemon
    builder.incarnation = message.incarnation
    builder.dataCentre = message.data_centre
    builder.region = message.region
    builder.peerAddress = message.peer_address
    builder.leaving = message.leaving
    builder.suspected = message.suspected
    builder.refutation = message.refutation


def _read_member(reader: Any) -> Member:
    get = reader._get
    return Member(
        daemon=get('daemon'),
        incarnation=get('incarnation'),
        data_centre=get('dataCentre'),
        region=get('region'),
        peer_address=get('peerAddress'),
        leaving=get('leaving'),
        suspected=get('suspected'),
        refutation=get('refutation'),
    )


@dataclass(frozen=True, slots=True)
class MemberDigests:
    """The message ``MemberDigests`` of messages.capnp."""

    buckets: bytes
    reply: bool


def _write_member_digests(message: MemberDigests, builder: Any) -> None:
    builder.buckets = message.buckets
    builder.reply = message.reply


def _read_member_digests(reader: Any) -> MemberDigests:
    get = reader._get
    return MemberDigests(
        buckets=get('buckets'),
        reply=get('reply'),
    )


@dataclass(frozen=True, slots=True)
class Members:
    """The message ``Members`` of messages.capnp."""

    members: tuple[Member, ...]


def _write_members(message: Members, builder: Any) -> None:
    parts = message.members
    slots = builder.init('members', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_member(part, slot)


def _read_members(reader: Any) -> Members:
    get = reader._get
    return Members(
        members=tuple(map(_read_member, get('members'))),
    )


@dataclass(frozen=True, slots=True)
class MergeRanges:
    """The message ``MergeRanges`` of messages.capnp."""

    service: str
    start: int
    last: int


def _write_merge_ranges(message: MergeRanges, builder: Any) -> None:
    builder.service = message.service
    builder.start = message.start
    builder.last = message.last


def _read_merge_ranges(reader: Any) -> MergeRanges:
    get = reader._get
    return MergeRanges(
        service=get('service'),
        start=get('start'),
        last=get('last'),
    )


@dataclass(frozen=True, slots=True)
class MoveRange:
    """The message ``MoveRange`` of messages.capnp."""

    service: str
    start: int
    last: int
    target: str


def _write_move_range(message: MoveRange, builder: Any) -> None:
    builder.service = message.service
    builder.start = message.start
    builder.last = message.last
    builder.target = message.target


def _read_move_range(reader: Any) -> MoveRange:
    get = reader._get
    return MoveRange(
        service=get('service'),
        start=get('start'),
        last=get('last'),
        target=get('target'),
    )


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """The message ``OwnedRange`` of messages.capnp."""

    start: int
    last: int
    target: str


def _write_owned_range(message: OwnedRange, builder: Any) -> None:
    builder.start = message.start
    builder.last = message.last
    builder.target = message.target


def _read_owned_range(reader: Any) -> OwnedRange:
    get = reader._get
    return OwnedRange(
        start=get('start'),
        last=get('last'),
        target=get('target'),
    )


@dataclass(frozen=True, slots=True)
class Permit:
    """The message ``Permit`` of messages.capnp."""

    number: int
    target: str
    started_at_ms: int
    address: str
    refusal: str
    retry_after_ms: int
    gateways: int
    waited_ms: int
    is_for_cold: bool


def _write_permit(message: Permit, builder: Any) -> None:
    builder.number = message.number
    builder.target = message.target
    builder.startedAtMs = message.started_at_ms
    builder.address = message.address
    builder.refusal = message.refusal
    builder.retryAfterMs = message.retry_after_ms
    builder.gateways = message.gateways
    builder.waitedMs = message.waited_ms
    builder.isForCold = message.is_for_cold


def _read_permit(reader: Any) -> Permit:
    get = reader._get
    return Permit(
        number=get('number'),
        target=get('target'),
        started_at_ms=get('startedAtMs'),
        address=get('address'),
        refusal=get('refusal'),
        retry_after_ms=get('retryAfterMs'),
        gateways=get('gateways'),
        waited_ms=get('waitedMs'),
        is_for_cold=get('isForCold'),
    )


@dataclass(frozen=True, slots=True)
class Ping:
    """The message ``Ping`` of messages.capnp."""

    number: int


def _write_ping(message: Ping, builder: Any) -> None:
    builder.number = message.number


def _read_ping(reader: Any) -> Ping:
    get = reader._get
    return Ping(
        number=get('number'),
    )


@dataclass(frozen=True, slots=True)
class Pong:
    """The message ``Pong`` of messages.capnp."""

    number: int


def _write_pong(message: Pong, builder: Any) -> None:
    builder.number = message.number


def _read_pong(reader: Any) -> Pong:
    get = reader._get
    return Pong(
        number=get('number'),
    )


@dataclass(frozen=True, slots=True)
class RangeLoad:
    """The message ``RangeLoad`` of messages.capnp."""

    start: int
    last: int
    requests: int
    busy_ms: int
    hot_key: int
    hot_requests: int


def _write_range_load(message: RangeLoad, builder: Any) -> None:
    builder.start = message.start
    builder.last = message.last
    builder.requests = message.requests
    builder.busyMs = message.busy_ms
    builder.hotKey = message.hot_key
    builder.hotRequests = message.hot_requests


def _read_range_load(reader: Any) -> RangeLoad:
    get = reader._get
    return RangeLoad(
        start=get('start'),
        last=get('last'),
        requests=get('requests'),
        busy_ms=get('busyMs'),
        hot_key=get('hotKey'),
        hot_requests=get('hotRequests'),
    )


@dataclass(frozen=True, slots=True)
class StandDown:
    """The message ``StandDown`` of messages.capnp."""

    number: int
    service: str
    epoch: int


def _write_stand_down(message: StandDown, builder: Any) -> None:
    builder.number = message.number
    builder.service = message.service
    builder.epoch = message.epoch


def _read_stand_down(reader: Any) -> StandDown:
    get = reader._get
    return StandDown(
        number=get('number'),
        service=get('service'),
        epoch=get('epoch'),
    )


@dataclass(frozen=True, slots=True)
class StoredItem:
    """The message ``StoredItem`` of messages.capnp."""

    key: str
    content: bytes
    revision: int


def _write_stored_item(message: StoredItem, builder: Any) -> None:
    builder.key = message.key
    builder.content = message.content
    builder.revision = message.revision


def _read_stored_item(reader: Any) -> StoredItem:
    get = reader._get
    return StoredItem(
        key=get('key'),
        content=get('content'),
        revision=get('revision'),
    )


@dataclass(frozen=True, slots=True)
class StoredItems:
    """The message ``StoredItems`` of messages.capnp."""

    number: int
    items: tuple[StoredItem, ...]
    complete_to: int
    config_complete_to: int
    coordinators_complete_to: int
    milli_cores: int
    members: tuple[GatewayRef, ...]


def _write_stored_items(message: StoredItems, builder: Any) -> None:
    builder.number = message.number
    parts = message.items
    slots = builder.init('items', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_stored_item(part, slot)
    builder.completeTo = message.complete_to
    builder.configCompleteTo = message.config_complete_to
    builder.coordinatorsCompleteTo = message.coordinators_complete_to
    builder.milliCores = message.milli_cores
    parts = message.members
    slots = builder.init('members', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_gateway_ref(part, slot)


def _read_stored_items(reader: Any) -> StoredItems:
    get = reader._get
    return StoredItems(
        number=get('number'),
        items=tuple(map(_read_stored_item, get('items'))),
        complete_to=get('completeTo'),
        config_complete_to=get('configCompleteTo'),
        coordinators_complete_to=get('coordinatorsCompleteTo'),
        milli_cores=get('milliCores'),
        members=tuple(map(_read_gateway_ref, get('members'))),
    )


@dataclass(frozen=True, slots=True)
class Submit:
    """The message ``Submit`` of messages.capnp."""

    number: int
    request_id: str
    service: str
    target: str
    customer: str
    key: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: int
    repeatable: bool
    ticket: str
    hops: int


def _write_submit(message: Submit, builder: Any) -> None:
    builder.number = message.number
    builder.requestId = message.request_id
    builder.service = message.service
    builder.target = message.target
    builder.customer = message.customer
    builder.key = message.key
    builder.method = message.method
    builder.path = message.path
    parts = message.headers
    slots = builder.init('headers', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_header(part, slot)
    builder.body = message.body
    builder.deadlineMs = message.deadline_ms
    builder.repeatable = message.repeatable
    builder.ticket = message.ticket
    builder.hops = message.hops


def _read_submit(reader: Any) -> Submit:
    get = reader._get
    return Submit(
        number=get('number'),
        request_id=get('requestId'),
        service=get('service'),
        target=get('target'),
        customer=get('customer'),
        key=get('key'),
        method=get('method'),
        path=get('path'),
        headers=tuple(map(_read_header, get('headers'))),
        body=get('body'),
        deadline_ms=get('deadlineMs'),
        repeatable=get('repeatable'),
        ticket=get('ticket'),
        hops=get('hops'),
    )


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """The message ``SubmitAnswer`` of messages.capnp."""

    number: int
    kind: str
    detail: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


def _write_submit_answer(message: SubmitAnswer, builder: Any) -> None:
    builder.number = message.number
    builder.kind = message.kind
    builder.detail = message.detail
    builder.status = message.status
    parts = message.headers
    slots = builder.init('headers', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_header(part, slot)
    builder.body = message.body


def _read_submit_answer(reader: Any) -> SubmitAnswer:
    get = reader._get
    return SubmitAnswer(
        number=get('number'),
        kind=get('kind'),
        detail=get('detail'),
        status=get('status'),
        headers=tuple(map(_read_header, get('headers'))),
        body=get('body'),
    )


@dataclass(frozen=True, slots=True)
class SuspectRequest:
    """The message ``SuspectRequest`` of messages.capnp."""

    fingerprint: bytes
    deaths: tuple[Death, ...]
    remaining_ms: int


def _write_suspect_request(message: SuspectRequest, builder: Any) -> None:
    builder.fingerprint = message.fingerprint
    parts = message.deaths
    slots = builder.init('deaths', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_death(part, slot)
    builder.remainingMs = message.remaining_ms


def _read_suspect_request(reader: Any) -> SuspectRequest:
    get = reader._get
    return SuspectRequest(
        fingerprint=get('fingerprint'),
        deaths=tuple(map(_read_death, get('deaths'))),
        remaining_ms=get('remainingMs'),
    )


@dataclass(frozen=True, slots=True)
class Suspects:
    """The message ``Suspects`` of messages.capnp."""

    suspects: tuple[SuspectRequest, ...]


def _write_suspects(message: Suspects, builder: Any) -> None:
    parts = message.suspects
    slots = builder.init('suspects', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_suspect_request(part, slot)


def _read_suspects(reader: Any) -> Suspects:
    get = reader._get
    return Suspects(
        suspects=tuple(map(_read_suspect_request, get('suspects'))),
    )


@dataclass(frozen=True, slots=True)
class TargetLimit:
    """The message ``TargetLimit`` of messages.capnp."""

    target: str
    started_at_ms: int
    rate_limit: str
    age_ms: int


def _write_target_limit(message: TargetLimit, builder: Any) -> None:
    builder.target = message.target
    builder.startedAtMs = message.started_at_ms
    builder.rateLimit = message.rate_limit
    builder.ageMs = message.age_ms


def _read_target_limit(reader: Any) -> TargetLimit:
    get = reader._get
    return TargetLimit(
        target=get('target'),
        started_at_ms=get('startedAtMs'),
        rate_limit=get('rateLimit'),
        age_ms=get('ageMs'),
    )


@dataclass(frozen=True, slots=True)
class TargetLimits:
    """The message ``TargetLimits`` of messages.capnp."""

    service: str
    limits: tuple[TargetLimit, ...]


def _write_target_limits(message: TargetLimits, builder: Any) -> None:
    builder.service = message.service
    parts = message.limits
    slots = builder.init('limits', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_target_limit(part, slot)


def _read_target_limits(reader: Any) -> TargetLimits:
    get = reader._get
    return TargetLimits(
        service=get('service'),
        limits=tuple(map(_read_target_limit, get('limits'))),
    )


@dataclass(frozen=True, slots=True)
class TargetRef:
    """The message ``TargetRef`` of messages.capnp."""

    target: str


def _write_target_ref(message: TargetRef, builder: Any) -> None:
    builder.target = message.target


def _read_target_ref(reader: Any) -> TargetRef:
    get = reader._get
    return TargetRef(
        target=get('target'),
    )


@dataclass(frozen=True, slots=True)
class Versions:
    """The message ``Versions`` of messages.capnp."""

    documents: tuple[DocumentVersion, ...]
    reply: bool


def _write_versions(message: Versions, builder: Any) -> None:
    parts = message.documents
    slots = builder.init('documents', len(parts))
    for slot, part in zip(slots, parts, strict=True):
        _write_document_version(part, slot)
    builder.reply = message.reply


def _read_versions(reader: Any) -> Versions:
    get = reader._get
    return Versions(
        documents=tuple(map(_read_document_version, get('documents'))),
        reply=get('reply'),
    )


Message = (
    Hello
    | Submit
    | SubmitAnswer
    | Cancel
    | Heartbeat
    | Versions
    | FetchDocument
    | LoadReport
    | HandOver
    | GuardSeal
    | GuardGrant
    | GuardAnswer
    | Ping
    | Pong
    | Gossip
    | MemberDigests
    | Members
    | DocumentPart
    | DocumentPatch
    | MoveRange
    | DrainTarget
    | Suspects
    | MergeRanges
    | Ask
    | Permit
    | Done
    | FetchItems
    | StoredItems
    | StandDown
    | TargetLimits
    | Explain
    | Explained
)

_WRITERS: dict[type, Any] = {
    Hello: ('hello', _write_hello),
    Submit: ('submit', _write_submit),
    SubmitAnswer: ('submitAnswer', _write_submit_answer),
    Cancel: ('cancel', _write_cancel),
    Heartbeat: ('heartbeat', _write_heartbeat),
    Versions: ('versions', _write_versions),
    FetchDocument: ('fetchDocument', _write_fetch_document),
    LoadReport: ('loadReport', _write_load_report),
    HandOver: ('handOver', _write_hand_over),
    GuardSeal: ('guardSeal', _write_guard_seal),
    GuardGrant: ('guardGrant', _write_guard_grant),
    GuardAnswer: ('guardAnswer', _write_guard_answer),
    Ping: ('ping', _write_ping),
    Pong: ('pong', _write_pong),
    Gossip: ('gossip', _write_gossip),
    MemberDigests: ('memberDigests', _write_member_digests),
    Members: ('members', _write_members),
    DocumentPart: ('documentPart', _write_document_part),
    DocumentPatch: ('documentPatch', _write_document_patch),
    MoveRange: ('moveRange', _write_move_range),
    DrainTarget: ('drainTarget', _write_drain_target),
    Suspects: ('suspects', _write_suspects),
    MergeRanges: ('mergeRanges', _write_merge_ranges),
    Ask: ('ask', _write_ask),
    Permit: ('permit', _write_permit),
    Done: ('done', _write_done),
    FetchItems: ('fetchItems', _write_fetch_items),
    StoredItems: ('storedItems', _write_stored_items),
    StandDown: ('standDown', _write_stand_down),
    TargetLimits: ('targetLimits', _write_target_limits),
    Explain: ('explain', _write_explain),
    Explained: ('explained', _write_explained),
}
_READERS: dict[str, Any] = {
    'hello': _read_hello,
    'submit': _read_submit,
    'submitAnswer': _read_submit_answer,
    'cancel': _read_cancel,
    'heartbeat': _read_heartbeat,
    'versions': _read_versions,
    'fetchDocument': _read_fetch_document,
    'loadReport': _read_load_report,
    'handOver': _read_hand_over,
    'guardSeal': _read_guard_seal,
    'guardGrant': _read_guard_grant,
    'guardAnswer': _read_guard_answer,
    'ping': _read_ping,
    'pong': _read_pong,
    'gossip': _read_gossip,
    'memberDigests': _read_member_digests,
    'members': _read_members,
    'documentPart': _read_document_part,
    'documentPatch': _read_document_patch,
    'moveRange': _read_move_range,
    'drainTarget': _read_drain_target,
    'suspects': _read_suspects,
    'mergeRanges': _read_merge_ranges,
    'ask': _read_ask,
    'permit': _read_permit,
    'done': _read_done,
    'fetchItems': _read_fetch_items,
    'storedItems': _read_stored_items,
    'standDown': _read_stand_down,
    'targetLimits': _read_target_limits,
    'explain': _read_explain,
    'explained': _read_explained,
}


def encode(message: Message, number: int | None = None) -> bytes:
    """Return the bytes of a message in its envelope.

    Parameters
    ----------
    message
        Any message.
    number
        Goes in place of the message's own number, where it is given.
    """
    wire, write = _WRITERS[type(message)]
    envelope = _schema.Envelope.new_message()
    part = envelope.init(wire)
    write(message, part)
    if number is not None:
        part.number = number
    return envelope.to_bytes()


def decode(frame: bytes) -> Message:
    """Return the message of an envelope.

    Raises
    ------
    capnp.KjException
        If the bytes are no envelope of this schema.
    """
    with _schema.Envelope.from_bytes(frame) as envelope:
        wire = str(envelope.which())
        return _READERS[wire](getattr(envelope, wire))


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the packed bytes of an assignment, as the store keeps it."""
    builder = _schema.Assignment.new_message()
    _write_assignment(assignment, builder)
    return builder.to_bytes_packed()


def decode_assignment(content: bytes) -> Assignment:
    """Return the assignment of packed bytes.

    Raises
    ------
    capnp.KjException
        If the bytes are no assignment of this schema.
    """
    return _read_assignment(_schema.Assignment.from_bytes_packed(content))
