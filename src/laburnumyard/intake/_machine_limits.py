"""Limits of the machine that a process runs on."""

import math
import os
import resource
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1_000_000
# Part of the memory of a machine that a process uses without a control group;
# other processes need the rest.
MACHINE_RATIO = 0.5
ROOT = Path('/')
GROUPS_FILE = 'proc/self/cgroup'
UNIFIED_FOLDER = 'sys/fs/cgroup'
UNIFIED_FILE = 'memory.max'
MEMORY_FOLDER = 'sys/fs/cgroup/memory'
MEMORY_FILE = 'memory.limit_in_bytes'


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What a process may use.

    Parameters
    ----------
    memory_mb
        Memory, in millions of bytes.
    max_descriptors
        Descriptors that it may open.
    """

    memory_mb: float
    max_descriptors: int


def read_machine_limits(root: Path = ROOT) -> MachineLimits:
    """Return the limits of the control group, the machine and the process.

    Parameters
    ----------
    root
        Folder in which ``proc`` and ``sys`` are.
    """
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    memory = min((pages * MACHINE_RATIO, *_group_limits(root)))
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = 0 if soft == resource.RLIM_INFINITY else soft
    return MachineLimits(memory / BYTES_PER_MB, descriptors)


def _group_limits(root: Path) -> Iterator[float]:
    """Yield the memory limits of the control group and those above it."""
    for line in _read(root / GROUPS_FILE).splitlines():
        _, controllers, path = (*line.split(':', 2), '', '')[:3]
        if controllers == '':
            folder, name = root / UNIFIED_FOLDER, UNIFIED_FILE
        elif 'memory' in controllers.split(','):
            folder, name = root / MEMORY_FOLDER, MEMORY_FILE
        else:
            continue
        group = folder / path.lstrip('/')
        for each in (group, *group.parents):
            if each.is_relative_to(folder):
                yield _read_limit(each / name)


def _read_limit(path: Path) -> float:
    text = _read(path).strip()
    return int(text) if text.isdecimal() else math.inf


def _read(path: Path) -> str:
    """Return the content of a file; empty if there is none."""
    try:
        return path.read_text()
    except OSError:
        return ''
