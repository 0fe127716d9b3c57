"""A service of several kinds of requests in virtual time, with short capacity.

It adds to the service model what decides when room is short: ranks, objectives
and deadlines by kind, callers that follow Retry-After or repeat at once,
targets that are lost and return cold, and pooled services.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ShardKey,
    TargetId,
)
from laburnumyard.core.scheduling import (
    Outcome,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
    Work,
    WorkId,
)
from standins.service_model import (
    BALANCE_S,
    MOST_SENDS,
    ORDER_DELAY_S,
    TICK_S,
    ServiceModel,
)

LATE_VALUE = 0.3
# Most times that a caller of a retry storm repeats, and how soon, in seconds.
STORM_REPEATS = 3
STORM_PAUSE_S = 0.02
# How many times longer a cold target takes, and for how long, in seconds.
COLD_FACTOR = 2.5
COLD_S = 4.0
# A sender learns after this time that a target is lost, in seconds.
LOSS_DELAY_S = 0.01
KEYS = 65_536
# Share of requests for a few neighbouring keys.
HOT_SHARE = 0.4
Rate: TypeAlias = Callable[[float], float]
KeyDraw: TypeAlias = Callable[[Random, float], int]


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    name
        Name of its route.
    rank
        Its priority; 0 is the most urgent.
    work_s
        Mean run time at a target of pace 1, in seconds.
    objective_s, timeout_s
        Time for full value, and for any value, in seconds.
    """

    name: str
    rank: int
    work_s: float
    objective_s: float
    timeout_s: float


@dataclass(slots=True, eq=False)
class Caller:
    """A caller with one request.

    Attributes
    ----------
    refusals
        How often it was refused.
    tried
        Targets that shed its present try.
    """

    at: float
    kind: Kind
    key: int
    work_s: float
    repeats: bool = False
    refusals: int = 0
    tried: set[TargetId] = field(default_factory=set)


@dataclass(slots=True)
class KindResult:
    """What the callers of one kind got.

    Attributes
    ----------
    asked, in_time, late
        Callers, and those with an answer in time or late.
    tries, refusals, refused_again
        Submitted tries, refused ones, and those of callers that had been
        refused before.
    waited_s
        Waits for a slot, in seconds.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    tries: int = 0
    refusals: int = 0
    refused_again: int = 0
    waited_s: list[float] = field(default_factory=list)

    @property
    def served(self) -> float:
        """Share of the callers with an answer."""
        return (self.in_time + self.late) / max(1, self.asked)

    @property
    def share(self) -> float:
        """Share of the value that was earned."""
        earned = self.in_time + LATE_VALUE * self.late
        return earned / max(1, self.asked)


class ContendedService(ServiceModel):
    """One service with several kinds of requests.

    Parameters
    ----------
    paces
        How many times longer than usual each target takes.
    slots
        Of each target.
    is_keyed
        Whether keys have owners.
    seed
        Of what happens by chance.
    """

    def __init__(
        self,
        paces: dict[str, float],
        slots: int = 4,
        *,
        is_keyed: bool = True,
        seed: int = 1,
    ) -> None:
        """Deal the keys."""
        self.is_keyed = is_keyed
        self.lost: set[str] = set()
        self.cold_until: dict[str, float] = {}
        self.callers: dict[WorkId, Caller] = {}
        self.kinds: defaultdict[str, KindResult] = defaultdict(KindResult)
        self.sheds: Counter[str] = Counter()
        super().__init__(paces, slots)
        self.random = Random(seed)
        if not is_keyed:
            self.scheduler = Scheduler(SchedulerSettings())
            self.update_targets()

    def play(
        self, callers: Iterable[Caller], until: float
    ) -> dict[str, KindResult]:
        """Play a load and return what each kind got."""
        for caller in callers:
            self.at(caller.at, lambda each=caller: self.enter(each))
        self.every(TICK_S, until, self.tick)
        self.every(BALANCE_S, until, self.balance)
        while self.events and self.events[0][0] <= until:
            at, _, act = heapq.heappop(self.events)
            self.now = Seconds(at)
            act()
        return self.kinds

    def balance(self) -> None:
        """Move keys, if they have owners."""
        if self.is_keyed:
            super().balance()

    def give_orders(self) -> None:
        """Have targets answer the orders that are due."""
        if self.is_keyed:
            super().give_orders()

    def shed_from(self, at: float, until: float, share: float) -> None:
        """Have all targets shed a share of their requests for a while."""
        self.at(at, lambda: setattr(self, 'shed_share', share))
        self.at(until, lambda: setattr(self, 'shed_share', 0))

    def lose_from(self, at: float, until: float, names: Iterable[str]) -> None:
        """Lose targets for a while; they return cold."""
        gone = tuple(names)
        self.at(at, lambda: self.lose(gone))
        self.at(until, lambda: self.restore(gone))

    def lose(self, names: tuple[str, ...]) -> None:
        """Lose targets; the directory learns of it after a second."""
        self.lost.update(names)
        self.at(self.now + 1, lambda: self.drop(names))

    def drop(self, names: tuple[str, ...]) -> None:
        """Remove lost targets from the directory."""
        self.draining.update(self.lost.intersection(names))
        self.update_targets()
        self.balance()

    def restore(self, names: tuple[str, ...]) -> None:
        """Return lost targets to the directory, cold."""
        self.lost.difference_update(names)
        self.draining.difference_update(names)
        until = self.now + COLD_S
        self.cold_until.update(dict.fromkeys(names, until))
        self.update_targets()
        self.balance()

    def enter(self, caller: Caller) -> None:
        """Take the first try of a caller."""
        self.kinds[caller.kind.name].asked += 1
        self.start_try(caller)

    def start_try(self, caller: Caller) -> None:
        """Take a try of a caller."""
        caller.tried.clear()
        self.kinds[caller.kind.name].tries += 1
        self.ask(caller)

    def ask(self, caller: Caller, sends: int = 0) -> None:
        """Ask the scheduler for a slot."""
        work = Work(
            WorkId(next(self.numbers)),
            AttemptId('request'),
            RouteName(caller.kind.name),
            caller.kind.rank,
            ShardKey(caller.key) if self.is_keyed else None,
            DataCentre('lima-a'),
            self.now,
            Seconds(caller.at + caller.kind.objective_s),
            Seconds(caller.at + caller.kind.timeout_s),
            frozenset(caller.tried),
            sends=sends,
        )
        self.callers[work.work_id] = caller
        self.carry_out(
            self.scheduler.submit(
                work, self.now, is_returned=caller.refusals > 0
            )
        )

    def carry_out(self, decisions: Iterable[Send | Refuse]) -> None:
        """Run what was sent; callers that are refused may come back."""
        for decision in decisions:
            work = decision.work
            caller = self.callers[work.work_id]
            if isinstance(decision, Send):
                kind = self.kinds[caller.kind.name]
                kind.waited_s.append(self.now - work.arrived_at)
                self.run_at(work, decision.target)
            else:
                self.turn_away(caller, decision)

    def run_at(self, work: Work, target: TargetId) -> None:
        """Have a target run a request, shed it, or not answer."""
        caller = self.callers[work.work_id]
        if target in self.lost:
            again = self.now + LOSS_DELAY_S
            self.at(again, lambda: self.fail(work, Outcome.UNREACHABLE))
            return
        if self.random.random() < self.shed_share:
            again = self.now + ORDER_DELAY_S
            self.at(again, lambda: self.fail(work, Outcome.SHED))
            return
        takes = caller.work_s * self.paces[target]
        if self.now < self.cold_until.get(target, 0):
            takes *= COLD_FACTOR
        self.at(self.now + takes, lambda: self.answer_caller(work))

    def fail(self, work: Work, outcome: Outcome) -> None:
        """Send a request again that its target did not run."""
        caller = self.callers[work.work_id]
        self.sheds[outcome.value] += 1
        self.carry_out(
            self.scheduler.finish(work.work_id, RunReport(outcome), self.now)
        )
        caller.tried.add(TargetId(str(work.target)))
        if work.sends < MOST_SENDS:
            self.ask(caller, work.sends + 1)
        else:
            pause = Seconds(STORM_PAUSE_S)
            self.turn_away(caller, Refuse(work, None, pause))

    def turn_away(self, caller: Caller, refusal: Refuse) -> None:
        """Count a refusal; a caller returns once, in a storm more often."""
        kind = self.kinds[caller.kind.name]
        kind.refusals += 1
        kind.refused_again += caller.refusals > 0
        caller.refusals += 1
        pause = refusal.retry_after_s
        most = STORM_REPEATS if caller.repeats else 1
        if caller.repeats:
            pause = STORM_PAUSE_S
        again = self.now + pause
        if caller.refusals <= most and again < caller.at + (
            caller.kind.timeout_s
        ):
            self.at(again, lambda: self.start_try(caller))

    def answer_caller(self, work: Work) -> None:
        """Answer a request."""
        caller = self.callers.pop(work.work_id)
        kind = self.kinds[caller.kind.name]
        took = self.now - caller.at
        if took <= caller.kind.objective_s:
            kind.in_time += 1
        elif took <= caller.kind.timeout_s:
            kind.late += 1
        self.result.answers[str(work.target)] += 1
        self.carry_out(
            self.scheduler.finish(
                work.work_id, RunReport(Outcome.ANSWERED), self.now
            )
        )


def draw_callers(
    random: Random,
    kind: Kind,
    rate: Rate,
    duration_s: float,
    draw_key: KeyDraw,
    repeating: float = 0,
) -> Iterator[Caller]:
    """Yield callers of one kind at a rate that may change.

    Parameters
    ----------
    random
        Source of what happens by chance.
    kind
        Their kind.
    rate
        Callers a second by time.
    duration_s
        When the load ends, in seconds.
    draw_key
        Draws a key.
    repeating
        Share of callers that repeat at once when they are refused.
    """
    now = random.expovariate(rate(0))
    while now < duration_s:
        tail = random.choices((1, 7), (97, 3))[0]
        work_s = kind.work_s * random.lognormvariate(-0.1, 0.4) * tail / 1.16
        yield Caller(
            now,
            kind,
            draw_key(random, now),
            work_s,
            repeats=random.random() < repeating,
        )
        now += random.expovariate(rate(now))


def uniform_key(random: Random, now: float) -> int:
    """Draw any key."""
    return random.randrange(KEYS)


def hot_key(random: Random, now: float) -> int:
    """Draw 40 % of the keys from 60 neighbours that change each 4.5 s."""
    if random.random() < HOT_SHARE:
        return 1000 + int(now / 4.5) * 9000 + random.randrange(60)
    return random.randrange(KEYS)
