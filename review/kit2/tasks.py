"""Background tasks that are kept until they end."""

import asyncio
from collections.abc import Coroutine
from typing import Any

TASKS: set['asyncio.Task[Any]'] = set()


def start(work: Coroutine[Any, Any, Any]) -> 'asyncio.Task[Any]':
    """Run a coroutine in the background."""
    task = asyncio.ensure_future(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task
