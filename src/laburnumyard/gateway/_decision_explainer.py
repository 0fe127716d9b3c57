"""Explains decisions of the schedulers of a gateway, in bounded time."""

import json
from collections.abc import Callable
from dataclasses import asdict
from enum import Enum
from typing import Any

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
)
from laburnumyard.core.scheduling import (
    Work,
    WorkId,
    explain,
    is_explainable,
)
from laburnumyard.core.shards import MAX_SHARD_KEY
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.schema._generated import messages
from laburnumyard.wire import Connection

MS_PER_SECOND = 1000
# Part of the time for which explanations may keep a gateway from its requests.
MAX_TIME_SHARE = 0.05
# Questions that may wait; more could not be answered within the timeout.
MAX_WAITING_QUESTIONS = 4
ATTEMPT = AttemptId('explain')
Content = dict[str, Any]
Dispatchers = Callable[[ServiceName], SlotDispatcher | None]


class DecisionExplainer:
    """Explains decisions of the schedulers of this gateway, one at a time.

    Attributes
    ----------
    resume_at
        When the next one may be explained, in seconds.
    """

    def __init__(self) -> None:
        """Create an object that may explain at once."""
        self.lock = anyio.Lock()
        self.resume_at = float(0)

    async def explain(
        self,
        dispatchers: Dispatchers,
        message: messages.Explain,
    ) -> Content:
        """Return what the scheduler of a service would decide.

        Parameters
        ----------
        dispatchers
            Lookup of the scheduler; it may change while the question waits.
        message
            The question.
        """
        if self.lock.statistics().tasks_waiting >= MAX_WAITING_QUESTIONS:
            return {'problem': 'too many requests are being explained'}
        async with self.lock:
            await anyio.sleep(max(0, self.resume_at - boot_time()))
            dispatcher = dispatchers(ServiceName(message.service))
            if dispatcher is None:
                return {
                    'problem': 'the gateway no longer schedules the service'
                }
            started = boot_time()
            content = _explain(dispatcher, message)
            now = boot_time()
            self.resume_at = now + (now - started) / MAX_TIME_SHARE
            return content

    async def answer(
        self,
        dispatchers: Dispatchers,
        link: Connection,
        message: messages.Explain,
    ) -> None:
        """Answer a question of another gateway."""
        content = await self.explain(dispatchers, message)
        encoded = json.dumps(content).encode()
        link.send(messages.Explained(message.number, encoded))


def _explain(dispatcher: SlotDispatcher, message: messages.Explain) -> Content:
    scheduler = dispatcher.scheduler
    if not is_explainable(scheduler):
        return {'problem': 'the service is too large to be explained'}
    now = boot_time()
    work = Work(
        WorkId(0),
        ATTEMPT,
        RouteName(message.route),
        message.rank,
        ShardKey(message.key) if message.key <= MAX_SHARD_KEY else None,
        DataCentre(message.data_centre),
        now,
        Seconds(now + message.due_ms / MS_PER_SECOND),
        Seconds(now + message.expires_ms / MS_PER_SECOND),
        cost_class=message.cost_class,
    )
    return asdict(explain(scheduler, work, now), dict_factory=_make_content)


def _make_content(fields: list[tuple[str, Any]]) -> Content:
    return {
        name: found.value if isinstance(found, Enum) else found
        for name, found in fields
    }
