"""Merge of two partitions of a fleet."""

from __future__ import annotations

from pathlib import Path

from ospreyford.standins.deployment import CATERER, PENSION_OFFICE, Size
from ospreyford.standins.launcher import Launcher
from tests.config_processes.rig import Rig

SIZE = Size(model_replicas=0, plain_replicas=0, entries=3)


def test_partitions_merge(tmp_path: Path) -> None:
    """Guards against divergence after a partition with a stale service.

    Each partition has its own seeds, host list and copy of the service.
    """
    sites = {CATERER.name: CATERER, PENSION_OFFICE.name: PENSION_OFFICE}
    with Launcher() as launcher:
        rigs = []
        for name, site in sites.items():
            directory = tmp_path / name
            directory.mkdir()
            rigs.append(Rig(launcher, directory, site, SIZE))
        newer, older = rigs
        for rig in rigs:
            for host in rig.fleet.hosts:
                rig.fleet.start_program(host)
        newer.publish_limit(1)
        newer.await_in_force()
        older.await_in_force()
        assert older.revision < newer.revision
        newer.add_hosts_of(older)
        older.add_hosts_of(newer)
        older.revision = newer.revision
        older.resolver = newer.resolver
        older.await_in_force()
        older.replace(older.programs[0])
        newer.await_in_force()
        older.await_in_force()
