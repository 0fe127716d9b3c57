"""Run the tests and write the fault matrix from what they proved."""

import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

from tests.support.matrix import CELLS_FILE, NOT_POSSIBLE, Fault, Step

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'fault-matrix.md'
INTRODUCTION = """# Fault matrix

Written by `make faults` from the tests that ran; do not edit. A cell is
*proved* if every test that carries its mark passed in that run, *red* if one
failed, *not possible* with the reason below, or *not covered* (empty). A pair
is two faults that strike at one step, together or one shortly after the other.
"""


# A step, and two faults in the order of their names.
Pair = tuple[str, ...]


class CellState(Enum):
    """What is known of one cell."""

    PROVED = 'proved'
    RED = 'red'
    NOT_POSSIBLE = 'not possible'
    NOT_COVERED = 'not covered'


def run_tests() -> tuple[list[dict], int]:
    """Run the tests; return their cell records and the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        cells = Path(folder) / 'cells.jsonl'
        cells.touch()
        environment = {**os.environ, CELLS_FILE: str(cells)}
        command = (sys.executable, '-m', 'pytest')
        code = subprocess.run(command, env=environment, cwd=ROOT).returncode
        return list(map(json.loads, cells.read_text().splitlines())), code


def judge(rows: list[dict], step: Step, fault: Fault) -> CellState:
    """Return the state of one cell."""
    outcomes = {row['outcome'] for row in cell_rows(rows, step, fault)}
    if outcomes == {'passed'}:
        return CellState.PROVED
    if outcomes:
        return CellState.RED
    if (step, fault) in NOT_POSSIBLE:
        return CellState.NOT_POSSIBLE
    return CellState.NOT_COVERED


def cell_rows(rows: list[dict], step: Step, fault: Fault) -> list[dict]:
    """Return the records of one cell."""
    cell = (step.value, fault.value)
    return [row for row in rows if (row['step'], row['fault']) == cell]


def judge_pairs(rows: list[dict]) -> dict[Pair, CellState]:
    """Return the state of each pair of faults that a test carries."""
    outcomes: dict[Pair, set[str]] = {}
    for row in rows:
        pair = (row['step'], *row['pair'])
        outcomes.setdefault(pair, set()).add(row['outcome'])
    return {
        pair: CellState.PROVED if found == {'passed'} else CellState.RED
        for pair, found in outcomes.items()
    }


def pair_lines(pairs: dict[Pair, CellState]) -> list[str]:
    """Return the counts of pairs by step, and each pair that is red."""
    proved = Counter(
        pair[0] for pair, state in pairs.items() if state is CellState.PROVED
    )
    lines = [
        f'- {step.value}: {proved[step.value]} proved'
        for step in Step
        if proved[step.value]
    ]
    red = (pair for pair, state in pairs.items() if state is CellState.RED)
    return lines + [f'- {" x ".join(pair)}: red' for pair in sorted(red)]


def table_lines(states: dict[tuple[Step, Fault], CellState]) -> list[str]:
    """Return the matrix as a table."""
    shown = {CellState.NOT_POSSIBLE: 'n/a', CellState.NOT_COVERED: ''}
    heads = ' | '.join(fault.value for fault in Fault)
    dashes = '---|' * len(Fault)
    lines = [f'| step | {heads} |', f'|---|{dashes}']
    for step in Step:
        cells = (states[step, fault] for fault in Fault)
        marks = ' | '.join(shown.get(cell, cell.value) for cell in cells)
        lines.append(f'| {step.value} | {marks} |')
    return lines


def proof_lines(rows: list[dict]) -> list[str]:
    """Return the list of tests of each covered cell."""
    proofs = {
        (row['step'], row['fault'], row['test'], row['outcome']) for row in rows
    }
    return [
        f'- {step} x {fault}: `{test}` ({outcome})'
        for step, fault, test, outcome in sorted(proofs)
    ]


def page(
    rows: list[dict],
    states: dict[tuple[Step, Fault], CellState],
    pairs: dict[Pair, CellState],
) -> str:
    """Return the text of the page."""
    reasons = [
        f'- {step.value} x {fault.value}: {why}'
        for (step, fault), why in NOT_POSSIBLE.items()
        if states[step, fault] is CellState.NOT_POSSIBLE
    ]
    parts = (
        INTRODUCTION,
        *table_lines(states),
        '\n## Proofs\n',
        *proof_lines(rows),
        '\n## Pairs of faults\n',
        *pair_lines(pairs),
        '\n## Not possible\n',
        *reasons,
    )
    return '\n'.join(parts)


def main() -> None:
    """Write the page and print the counts."""
    records, code = run_tests()
    rows = [record for record in records if 'fault' in record]
    pairs = judge_pairs([record for record in records if 'pair' in record])
    states = {
        (step, fault): judge(rows, step, fault)
        for step in Step
        for fault in Fault
    }
    PAGE.write_text(f'{page(rows, states, pairs)}\n')
    cells = shares(states.values(), CellState)
    judged = shares(pairs.values(), (CellState.PROVED, CellState.RED))
    sys.stdout.write(f'cells: {cells}\npairs: {judged}\n')
    sys.exit(code)


def shares(states: Iterable[CellState], shown: Iterable[CellState]) -> str:
    """Return how many are in each of some states."""
    counts = Counter(states)
    return ', '.join(f'{counts[state]} {state.value}' for state in shown)


if __name__ == '__main__':
    main()
