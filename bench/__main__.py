"""Run every benchmark; each prints its figures as ``name=value`` lines."""

import os
import platform
import subprocess
import sys

BENCHMARKS = (
    'requests',
    'ownership',
    'churn',
    'control',
    'control.assignments',
    'control.renewals',
    'control.links',
    'roles',
    'entry',
    'crossing',
    'recovery',
    'idle',
)


def main() -> None:
    """Run the named benchmarks, or all; exit 1 if one of them failed."""
    names = tuple(sys.argv[1:]) or BENCHMARKS
    load = os.getloadavg()[0]
    sys.stdout.write(f'machine.cores={os.cpu_count()}\n')
    sys.stdout.write(f'machine.load_before={load:.1f}\n')
    sys.stdout.write(f'machine.python={platform.python_version()}\n')
    sys.stdout.flush()
    codes = [
        subprocess.run((sys.executable, '-m', f'bench.{name}')).returncode
        for name in names
    ]
    sys.exit(any(codes))


if __name__ == '__main__':
    main()
