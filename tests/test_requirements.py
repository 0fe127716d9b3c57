"""The libraries of a deployed gateway install on each kind of machine."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent
BUILD = ROOT / 'deploy' / 'build.sh'
INSTALL_LIMIT_S = 300


@pytest.fixture
def clean_environment():
    """Return variables without any configuration of pip but certificates."""
    kept = ('PATH', 'PIP_CERT', 'SSL_CERT_FILE', 'LANG')
    environment = {
        name: os.environ[name] for name in kept if name in os.environ
    }
    return environment | {
        'PIP_CONFIG_FILE': os.devnull,
        'PIP_NO_CACHE_DIR': '1',
    }


@pytest.fixture
def deployed_lock():
    """Return the lock file that the build installs."""
    return ROOT / re.findall(r'--requirement (\S+)', BUILD.read_text())[0]


# FAULT: the build failed on clean arm64 machines without a compiler.
@pytest.mark.parametrize('processor', ['x86_64', 'aarch64'])
def test_deployed_libraries_install_without_a_compiler(
    processor, deployed_lock, clean_environment, tmp_path
):
    platforms = ('2014', '_2_17', '_2_28')
    tags = [
        f'--platform=manylinux{version}_{processor}' for version in platforms
    ]
    installed = subprocess.run(
        [
            *(sys.executable, '-m', 'pip', 'install', '--quiet', '--dry-run'),
            *('--require-hashes', '--only-binary=:all:', *tags),
            *('--implementation=cp', '--python-version=3.11'),
            *('--target', str(tmp_path / 'deps')),
            *('--requirement', str(deployed_lock)),
        ],
        check=False,
        env=clean_environment | {'HOME': str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=INSTALL_LIMIT_S,
    )
    assert_that(installed.returncode, Equals(0), installed.stderr)


@pytest.fixture
def interrupted_build(tmp_path):
    """Return a checkout in which a build for another machine broke off."""
    for name in ('deploy', 'requirements', 'src'):
        (tmp_path / name).symlink_to(ROOT / name)
    left_over = tmp_path / 'target' / 'new' / 'capnp'
    left_over.mkdir(parents=True)
    python = tmp_path / 'bin' / 'python3'
    python.parent.mkdir()
    python.write_text('#!/bin/sh\nmkdir -p target/new\n')
    python.chmod(0o755)
    return tmp_path


# FAULT: pip keeps what lies in its target folder, for whatever processor.
def test_build_installs_nothing_that_an_interrupted_build_left(
    interrupted_build,
):
    path = f'{interrupted_build / "bin"}:{os.environ["PATH"]}'
    subprocess.run(
        ['sh', 'deploy/build.sh'],
        check=True,
        cwd=interrupted_build,
        env={'PATH': path},
    )
    built = [entry.name for entry in (interrupted_build / 'target').iterdir()]
    assert_that(built, Equals(['deps']))
    deps = interrupted_build / 'target' / 'deps'
    assert_that(
        [entry.name for entry in deps.iterdir()], Equals(['laburnumyard'])
    )
