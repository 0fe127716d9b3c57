"""A stand-in for a target: the control API, slots, work and faults."""

from standins._target_app import TargetApp
from standins._target_cli import serve_target
from standins._target_state import Fencing, TargetSettings

__all__ = ('Fencing', 'TargetApp', 'TargetSettings', 'serve_target')

if __name__ == '__main__':
    import fire

    fire.Fire(serve_target)
