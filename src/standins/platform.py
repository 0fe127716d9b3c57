"""A stand-in for the platform: the key-value service and the VM list."""

from standins._platform_app import PlatformApp
from standins._platform_cli import serve_platform

__all__ = ('PlatformApp', 'serve_platform')

if __name__ == '__main__':
    import fire

    fire.Fire(serve_platform)
