"""Targets, a store and a network in virtual time, around the shard manager.

Replies are late, lost, doubled and swapped; targets start anew, coordinators
are replaced, and the store comes back from older copies.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from laburnumyard.core.ids import FencingToken
from laburnumyard.core.shards import (
    Assignment,
    Grant,
    RangeRelease,
    Reply,
    ShardManager,
    ShardSettings,
    TargetOrder,
)
from laburnumyard.core.target_directory import TargetLife
from tests.core.shards.conftest import life

SETTINGS = ShardSettings(
    hold_s=2, renew_after_s=0.5, outage_hold_s=1, pieces_per_target=2
)
NAMES = 'abcd'
SAMPLES = range(0, 65_536, 1024)
TICK_S = 0.05
GRANT_TIMEOUT_S = 0.4
RELEASE_TIMEOUT_S = 1.0
# Revisions of a later era are higher than all of an earlier one.
ERA = 10_000


@dataclass
class Holder:
    """A target: the keys it holds, and the work that runs on them."""

    name: str
    started: int = 1
    until: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    busy_until: dict = field(default_factory=dict)

    @property
    def life(self):
        return life(self.name, self.started)

    def restart(self):
        self.started += 1
        self.until.clear()
        self.seen.clear()
        self.busy_until.clear()

    def holds(self, key, now):
        return self.until.get(key, 0) > now

    def grant(self, keys, order, arrived):
        if any(self.seen.get(key, 0) > order.token for key in keys):
            return Reply.FENCED
        for key in keys:
            self.seen[key] = order.token
            self.until[key] = arrived + order.hold_s
        return Reply.DONE

    def release(self, keys, order, now):
        """Stop work on keys; return how long the last of it still runs."""
        for key in keys:
            self.seen[key] = max(self.seen.get(key, 0), order.token)
            self.until.pop(key, None)
        ends = [self.busy_until.get(key, 0) for key in keys]
        return max(0, max(ends, default=0) - now)


@dataclass
class Message:
    """An order on its way, and whether its sender waits for the reply."""

    manager: ShardManager
    order: TargetOrder
    receiver: TargetLife
    arrived: float
    is_awaited: bool = True


class OrderModel:
    """Runs managers against targets; see ``run``.

    ``violations`` has each grant of a key that another target holds.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.now = 0
        self.numbers = count()
        self.events = []
        self.holders = {name: Holder(name) for name in NAMES}
        self.violations = []
        self.ready = set(NAMES)
        self.known = {name: life(name) for name in NAMES}
        self.store = StoreModel(self)
        self.manager = ShardManager(SETTINGS)
        self.releasing = set()

    def happens(self, probability):
        return self.random.random() < probability

    def after(self, delay: float, action: Callable, *details):
        due = self.now + delay
        heapq.heappush(self.events, (due, next(self.numbers), action, details))

    def run(self, duration_s):
        self.after(0, self.tick)
        while self.events and self.now < duration_s:
            due, _, action, details = heapq.heappop(self.events)
            self.now = due
            action(*details)

    def tick(self):
        self.after(TICK_S, self.tick)
        plan = self.store.plan
        actions = (plan, plan, plan, self.disturb, self.start_work)
        self.random.choice(actions)()
        for order in tuple(self.manager.due_orders(self.now)):
            self.manager.unanswered.add(order)
            self.send(order, GRANT_TIMEOUT_S)
        for target_life in sorted(self.releasing, key=_by_start):
            self.send_range_release(target_life)

    def disturb(self):
        store = self.store
        actions = (
            self.flip_ready,
            self.restart,
            store.reread,
            store.replace_coordinator,
            store.lose,
        )
        self.random.choices(actions, (9, 2, 1, 1, 1))[0]()

    def flip_ready(self):
        self.ready ^= {self.random.choice(NAMES)}

    def restart(self):
        holder = self.holders[self.random.choice(NAMES)]
        before = holder.life
        holder.restart()
        self.after(self.random.uniform(0.05, 0.5), self.learn_restart, before)

    def learn_restart(self, before):
        """Read the entry of a target that started anew at its address."""
        self.known[before.target] = self.holders[before.target].life
        self.manager.restarted.add(before)

    def start_work(self):
        holder = self.holders[self.random.choice(NAMES)]
        key = self.random.choice(SAMPLES)
        if holder.holds(key, self.now):
            holder.busy_until[key] = self.now + self.random.expovariate(2)
        self.manager.note_arrival(key, self.random.random(), self.now)

    def send_range_release(self, target_life):
        unknown = self.manager.unknown_holders
        order = unknown.next_release(target_life, self.manager.pieces)
        self.releasing.discard(target_life)
        if order is None:
            unknown.lives.discard(target_life)
            return
        self.send(order, RELEASE_TIMEOUT_S)

    def send(self, order, timeout_s):
        transit = self.random.choice((0.005, 0.005, 0.01, 0.2))
        receiver = self.holders[order.life.target].life
        arrived = self.now + transit
        message = Message(self.manager, order, receiver, arrived)
        self.after(timeout_s, self.answer, message, Reply.UNKNOWN)
        if self.happens(0.1):
            return
        late = self.random.choice((0, 0, 0, 0, self.random.uniform(0, 1.5)))
        self.after(transit + late, self.execute, message)

    def execute(self, message):
        order = message.order
        holder = self.holders[order.life.target]
        if holder.life != message.receiver:
            # The process that had received it has ended.
            return
        keys = [key for key in SAMPLES if order.first <= key <= order.last]
        reply, delay = Reply.DONE, 0
        if isinstance(order, Grant):
            reply = holder.grant(keys, order, message.arrived)
            if reply is Reply.DONE:
                self.check(holder, keys, order.token)
        else:
            delay = holder.release(keys, order, self.now)
        delay += self.random.choice((0.005, 0.01, 0.3))
        self.after(delay, self.answer, message, reply)
        if self.happens(0.05):
            delay += self.random.uniform(0, 2)
            self.after(delay, self.answer, replace(message), reply)

    def check(self, holder, keys, token):
        for key in keys:
            for other in self.holders.values():
                both = (holder, other)
                if other is not holder and all(
                    each.holds(key, self.now) for each in both
                ):
                    self.violations.append(
                        (self.now, key, other.name, holder.name, token)
                    )

    def answer(self, message, reply):
        """Deliver a reply, or the end of the wait for one, once."""
        if not message.is_awaited or message.manager is not self.manager:
            return
        message.is_awaited = False
        order = message.order
        if not isinstance(order, RangeRelease):
            self.manager.note_reply(order, reply, '', self.now)
            return
        if reply is Reply.DONE:
            unknown = self.manager.unknown_holders
            unknown.note_released(order, self.manager.pieces)
        self.releasing.add(order.life)


class StoreModel:
    """The stored assignment, and the coordinators that read and write it."""

    def __init__(self, model):
        self.model = model
        self.revision = 1
        self.stored = ()
        self.earlier = ()
        self.is_stale = False

    def plan(self):
        if self.is_stale:
            self.reread()
        model = self.model
        lives = {name: model.known[name] for name in sorted(model.ready)}
        self.save(model.manager.plan(lives, {}, model.now))

    def save(self, moves):
        if not moves:
            return
        model = self.model
        preview = model.manager.preview(moves)
        self.revision += 1
        if model.happens(0.2):
            self.earlier = self.stored
        self.stored = tuple(
            replace(piece, token=piece.token or FencingToken(self.revision))
            for piece in preview
        )
        if model.happens(0.1):
            # The answer of the store is lost.
            self.is_stale = True
            return
        model.manager.apply(moves, self.revision, model.now)

    def reread(self):
        if self.stored:
            self.is_stale = False
            copies = tuple(map(replace, self.stored))
            assignment = Assignment(self.revision, copies)
            self.model.manager.take_over(assignment, self.model.now)

    def replace_coordinator(self):
        """Start another coordinator; the earlier one has ended."""
        model = self.model
        model.manager = ShardManager(SETTINGS)
        model.releasing = set()
        self.reread()
        model.manager.note_predecessor_gone(model.now)

    def lose(self):
        """Bring the store back from a copy, and start another coordinator."""
        self.revision += ERA
        self.stored = self.earlier or self.stored
        self.replace_coordinator()
        model = self.model
        if not self.stored:
            return
        unknown = model.manager.unknown_holders
        lives = self.every_life()
        until = model.now + SETTINGS.max_hold_s
        self.save(unknown.expect(model.manager.pieces, lives, until))
        if self.is_stale:
            self.reread()
        unknown.token = FencingToken(self.revision)
        model.releasing = set(lives)

    def every_life(self):
        """Return the lives that the directory or the assignment names."""
        pieces = self.model.manager.pieces
        formers = [each for piece in pieces for each in piece.former_holders]
        return {
            *self.model.known.values(),
            *(piece.holder for piece in pieces),
            *(former.life for former in formers),
        }


def _by_start(target_life):
    return target_life.target, target_life.started_at_ms
