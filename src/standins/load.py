"""Callers' load: requests, checks of the answers and latencies."""

from standins._load_cli import send_load
from standins._load_report import ClassReport, LoadReport, Outcome
from standins._load_run import run_load
from standins._load_settings import CallerClass, LoadSettings

__all__ = (
    'CallerClass',
    'ClassReport',
    'LoadReport',
    'LoadSettings',
    'Outcome',
    'run_load',
    'send_load',
)

if __name__ == '__main__':
    import fire

    fire.Fire(send_load)
