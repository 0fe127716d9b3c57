"""Run the tests and write the fault matrix from what they proved."""

import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from enum import Enum
from pathlib import Path

from tests.support.matrix import NOT_POSSIBLE, Fault, Step

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'fault-matrix.md'
INTRODUCTION = """# Fault matrix

Written by `make faults` from the tests that ran; do not edit. A cell is
*proved* if every test that carries its mark passed in that run, *red* if one
failed, *not possible* with the reason below, or *not covered* (empty).
"""


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
        environment = {**os.environ, 'LABURNUMYARD_CELLS': str(cells)}
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


def page(rows: list[dict], states: dict[tuple[Step, Fault], CellState]) -> str:
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
        '\n## Not possible\n',
        *reasons,
    )
    return '\n'.join(parts)


def main() -> None:
    """Write the page and print the counts."""
    rows, code = run_tests()
    states = {
        (step, fault): judge(rows, step, fault)
        for step in Step
        for fault in Fault
    }
    PAGE.write_text(f'{page(rows, states)}\n')
    counts = Counter(states.values())
    shares = ', '.join(f'{counts[state]} {state.value}' for state in CellState)
    sys.stdout.write(f'cells: {shares}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()
