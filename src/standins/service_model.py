"""A keyed service in virtual time: targets, arrivals, and who serves what.

The model runs the product's scheduler and shard manager against targets of
different speed, without a network. It answers orders after a fixed delay, and
releases only when the work on the keys has ended.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.rate_limits import (
    NO_LIMIT,
    LimitKind,
    LimitStatement,
)
from laburnumyard.core.scheduling import (
    Decision,
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
    Work,
    WorkId,
)
from laburnumyard.core.shards import (
    Order,
    Release,
    Reply,
    ShardManager,
    ShardSettings,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)

# When, in which order, and what happens then.
Event = tuple[float, int, Callable[[], None]]
OBJECTIVE_S = 0.4
TIMEOUT_S = 0.8
LATE_VALUE = 0.3
ORDER_DELAY_S = 0.004
# As often as a gateway sends a request that targets shed.
MOST_SENDS = 4
TICK_S = 0.05
BALANCE_S = 0.15


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the load.

    Parameters
    ----------
    at
        When it comes, in seconds.
    key
        Its key.
    work_s
        How long it runs at a target of pace 1, in seconds.
    """

    at: float
    key: int
    work_s: float


@dataclass(slots=True)
class Result:
    """What the load got.

    Attributes
    ----------
    asked, earned
        Requests, and the value of their answers.
    answers
        How many requests each target has answered.
    moves
        How many pieces moved.
    """

    asked: int = 0
    earned: float = 0
    refused: int = 0
    moves: int = 0
    answers: 'Counter[str]' = field(default_factory=Counter)

    @property
    def share(self) -> float:
        """The part of the value that was earned."""
        return self.earned / max(1, self.asked)

    @property
    def imbalance(self) -> float:
        """The answers of the busiest target over the mean."""
        mean = sum(self.answers.values()) / max(1, len(self.answers))
        return max(self.answers.values(), default=0) / max(1, mean)


class ServiceModel:
    """One service in virtual time.

    Parameters
    ----------
    paces
        How many times longer than usual each target takes.
    slots
        Of each target.
    settings
        Bounds of grants and balancing.
    is_balanced
        Whether keys move; without it they stay as they were dealt.
    shed_share
        The part of their requests that targets shed by chance.

    Attributes
    ----------
    limits
        Requests a second that targets state as their limit.
    arrivals_at
        When each target got requests, in seconds.
    """

    def __init__(
        self,
        paces: dict[str, float],
        slots: int = 3,
        settings: ShardSettings | None = None,
        *,
        is_balanced: bool = True,
        shed_share: float = 0,
    ) -> None:
        """Deal the keys."""
        self.shed_share = shed_share
        self.limits: dict[str, float] = {}
        self.arrivals_at: defaultdict[str, list[float]] = defaultdict(list)
        self.random = Random(len(paces))
        self.returned: set[Arrival] = set()
        self.paces = dict(paces)
        self.slots = slots
        self.is_balanced = is_balanced
        self.manager = ShardManager(settings or ShardSettings())
        self.scheduler = Scheduler(SchedulerSettings(), self.manager)
        self.result = Result()
        self.events: list[Event] = []
        self.numbers = count()
        self.revisions = count(1)
        self.arrivals: dict[WorkId, Arrival] = {}
        self.draining: set[str] = set()
        self.now = Seconds(0)
        self.update_targets()
        self.balance()

    def run(self, load: Iterable[Arrival], until: float) -> Result:
        """Play a load and return what it got."""
        for arrival in load:
            self.at(arrival.at, lambda each=arrival: self.arrive(each))
        self.every(TICK_S, until, self.tick)
        self.every(BALANCE_S, until, self.balance)
        while self.events and self.events[0][0] <= until:
            at, _, act = heapq.heappop(self.events)
            self.now = Seconds(at)
            act()
        return self.result

    def at(self, moment: float, act: Callable[[], None]) -> None:
        """Do something at a moment."""
        heapq.heappush(self.events, (moment, next(self.numbers), act))

    def every(
        self, interval: float, until: float, act: Callable[[], None]
    ) -> None:
        """Do something again and again."""
        for step in range(int(until / interval)):
            self.at(step * interval, act)

    def drain(self, name: str) -> None:
        """Have a target announce that it leaves."""
        self.draining.add(name)
        self.update_targets()
        self.balance()

    def update_targets(self) -> None:
        """Tell the scheduler the targets."""
        self.scheduler.update_targets(map(self.record, self.paces))

    def record(self, name: str) -> TargetRecord:
        """Return the entry of a target."""
        leaves = name in self.draining
        return TargetRecord(
            TargetLife(TargetId(name), 1),
            ServiceName('catalogue'),
            name,
            DataCentre('lima-a'),
            self.slots,
            TargetState.DRAINING if leaves else TargetState.READY,
            Seconds(0),
        )

    def arrive(self, arrival: Arrival) -> None:
        """Take a request."""
        self.result.asked += 1
        self.submit(arrival)

    def submit(self, arrival: Arrival, sends: int = 0) -> None:
        """Ask the scheduler for a slot."""
        work = Work(
            WorkId(next(self.numbers)),
            AttemptId('request'),
            RouteName('benches'),
            1,
            ShardKey(arrival.key),
            DataCentre('lima-a'),
            self.now,
            Seconds(arrival.at + OBJECTIVE_S),
            Seconds(arrival.at + TIMEOUT_S),
            sends=sends,
        )
        self.arrivals[work.work_id] = arrival
        is_returned = arrival in self.returned
        self.carry_out(
            self.scheduler.submit(work, self.now, is_returned=is_returned)
        )

    def carry_out(self, decisions: Iterable[Decision]) -> None:
        """Run what was sent; callers that are refused come back once."""
        for decision in decisions:
            if isinstance(decision, Send):
                self.run_at(decision.work, decision.target)
            else:
                arrival = self.arrivals[decision.work.work_id]
                self.refuse(arrival, decision.retry_after_s)

    def run_at(self, work: Work, target: TargetId) -> None:
        """Have a target run a request, or shed it."""
        if self.random.random() < self.shed_share:
            self.at(self.now + ORDER_DELAY_S, lambda: self.shed(work))
            return
        self.arrivals_at[target].append(self.now)
        takes = self.arrivals[work.work_id].work_s * self.paces[target]
        self.at(self.now + takes, lambda: self.finish(work))

    def shed(self, work: Work) -> None:
        """Send a request again that its target did not start."""
        finished = self.scheduler.finish(
            work.work_id, RunReport(Outcome.SHED), self.now
        )
        self.carry_out(finished)
        arrival = self.arrivals[work.work_id]
        if work.sends < MOST_SENDS:
            self.submit(arrival, work.sends + 1)
        else:
            self.refuse(arrival, Seconds(ORDER_DELAY_S))

    def refuse(self, arrival: Arrival, retry_after_s: Seconds) -> None:
        """Count a refusal, or have the caller come back."""
        again = self.now + retry_after_s
        if arrival in self.returned or again > arrival.at + TIMEOUT_S:
            self.result.refused += 1
            return
        self.returned.add(arrival)
        self.at(again, lambda: self.submit(arrival))

    def finish(self, work: Work) -> None:
        """Answer a request."""
        took = self.now - self.arrivals[work.work_id].at
        if took <= OBJECTIVE_S:
            self.result.earned += 1
        elif took <= TIMEOUT_S:
            self.result.earned += LATE_VALUE
        self.result.answers[str(work.target)] += 1
        limit = self.limits.get(str(work.target))
        stated = NO_LIMIT
        if limit is not None:
            stated = LimitStatement(LimitKind.STATED, limit)
        self.carry_out(
            self.scheduler.finish(
                work.work_id, RunReport(Outcome.ANSWERED, 0, stated), self.now
            )
        )

    def tick(self) -> None:
        """Let time pass."""
        self.carry_out(self.scheduler.tick(self.now))
        self.give_orders()

    def balance(self) -> None:
        """Move keys."""
        if self.manager.revision and not self.is_balanced:
            self.give_orders()
            return
        records = [
            self.record(name)
            for name in self.paces
            if name not in self.draining
        ]
        lives = {record.target: record.life for record in records}
        times = self.scheduler.times
        targets = self.scheduler.targets
        capacities = {
            target: targets[target].planned_capacity(times, self.now)
            for target in lives
        }
        quiet = self.scheduler.limiter.quiet_targets(self.now)
        moves = self.manager.plan(lives, capacities, self.now, quiet)
        if moves:
            self.result.moves += len(moves)
            self.manager.preview(moves)
            self.manager.apply(moves, next(self.revisions), self.now)
        self.give_orders()

    def give_orders(self) -> None:
        """Have targets answer the orders that are due."""
        for order in tuple(self.manager.due_orders(self.now)):
            self.at(
                self.now + ORDER_DELAY_S,
                lambda each=order: self.answer(each),
            )

    def answer(self, order: Order) -> None:
        """Answer an order; a release waits for running work."""
        if isinstance(order, Release) and self.is_at_work(order):
            again = self.now + ORDER_DELAY_S
            self.at(again, lambda: self.answer(order))
            return
        self.manager.note_reply(order, Reply.DONE, '', self.now)
        for following in tuple(self.manager.next_order(order.piece, self.now)):
            self.at(
                self.now + ORDER_DELAY_S,
                lambda each=following: self.answer(each),
            )
        self.carry_out(self.scheduler.dispatch(self.now))

    def is_at_work(self, order: Release) -> bool:
        """Whether a target runs requests on the keys of a release."""
        return any(
            work.target == order.life.target
            and work.key is not None
            and order.first <= work.key <= order.last
            for work in self.scheduler.running.values()
        )
