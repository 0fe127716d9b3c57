"""Reads the settings and object files of operators."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from pathlib import Path

from expression import Error, Ok, Result

from laburnumyard.core.file_problems import Problem


def read_files(
    names: Iterable[str],
) -> Result[Mapping[str, str], tuple[Problem, ...]]:
    """Read files and the TOML files of directories.

    Parameters
    ----------
    names
        Paths of files and directories.

    Returns
    -------
    Result
        The text of each file by its path, or a problem for each unreadable
        file.
    """
    texts: dict[str, str] = {}
    problems: list[Problem] = []
    for path in chain.from_iterable(map(_list_paths, names)):
        try:
            texts[str(path)] = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as fault:
            remedy = f'name a readable UTF-8 file ({fault})'
            problems.append(Problem(str(path), '', '', '', remedy))
    return Error(tuple(problems)) if problems else Ok(texts)


def _list_paths(name: str) -> Iterator[Path]:
    path = Path(name)
    if path.is_dir():
        yield from sorted(path.glob('*.toml'))
    else:
        yield path
