"""Lock the packages of requirements/*.in, with hashes for all machines.

Versions in the present lock are kept; ``--upgrade`` takes the newest ones that
the ``.in`` files allow.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path
from types import MappingProxyType

FOLDER = Path(__file__).resolve().parent.parent / 'requirements'
# Each lock contains those before it; the last one has all packages.
LOCKS = MappingProxyType(
    {
        'gateway.txt': ('gateway.in',),
        'run.txt': ('gateway.in', 'run.in'),
        'dev.txt': ('gateway.in', 'run.in', 'dev.in'),
    }
)
ALL_PACKAGES = 'dev.txt'
UPGRADE = '--upgrade'
PIN = re.compile(r'^[^\s#]+==[^\s;]+', re.MULTILINE)


def locked_versions() -> str:
    """Return the versions of the present lock, a line each."""
    return '\n'.join(PIN.findall((FOLDER / ALL_PACKAGES).read_text()))


def lock(name: str, constraints: str) -> None:
    """Write a lock file with the hashes of all archives of each package."""
    target = FOLDER / name
    # Hashes in an existing file would be kept, and new ones not added.
    target.unlink(missing_ok=True)
    with tempfile.NamedTemporaryFile('w', suffix='.txt') as versions:
        versions.write(constraints)
        versions.flush()
        subprocess.run(
            [
                *(sys.executable, '-m', 'uv', 'pip', 'compile', '--quiet'),
                *('--python-platform', 'linux', '--python-version', '3.11'),
                *('--generate-hashes', '--no-header', '--no-annotate'),
                *('--constraints', versions.name),
                *('--output-file', str(target)),
                *(str(FOLDER / source) for source in LOCKS[name]),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )


def main() -> None:
    """Write all lock files, with one version of each package."""
    constraints = '' if UPGRADE in sys.argv else locked_versions()
    lock(ALL_PACKAGES, constraints)
    for name in LOCKS:
        if name != ALL_PACKAGES:
            lock(name, locked_versions())


if __name__ == '__main__':
    main()
