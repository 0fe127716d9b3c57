"""Pin the packages of requirements/*.in with their hashes."""

import json
import re
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / 'requirements'


def resolve(source: Path) -> list[dict]:
    """Ask pip which archives it would install for a file."""
    report = subprocess.run(
        [
            *(sys.executable, '-m', 'pip', 'install', '--quiet'),
            *('--dry-run', '--ignore-installed', '--report', '-'),
            *('--requirement', str(source)),
        ],
        check=True,
        stdout=subprocess.PIPE,
    )
    return json.loads(report.stdout)['install']


def pin(package: dict) -> str:
    """Return the line that pins one archive."""
    metadata = package['metadata']
    name = re.sub('[-_.]+', '-', metadata['name']).lower()
    digest = package['download_info']['archive_info']['hashes']['sha256']
    version = metadata['version']
    return f'{name}=={version} --hash=sha256:{digest}'


def main() -> None:
    """Write the lock file beside each .in file."""
    for source in sorted(FOLDER.glob('*.in')):
        pins = sorted(map(pin, resolve(source)))
        text = '\n'.join(('# Made by `make lock` from the .in file.', *pins))
        source.with_suffix('.txt').write_text(f'{text}\n')


if __name__ == '__main__':
    main()
