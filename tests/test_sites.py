"""Two sites on one machine don't interfere."""

import pathlib

from gorsefall import settings
from gorsefall.standins import launch
from gorsefall.standins import ports

SITE = pathlib.Path(__file__).parent.parent / 'features' / 'site'


def test_two_sites_run_side_by_side(tmp_path):
    """Sites must not use fixed ports.

    Otherwise scenarios fail whenever a second suite runs on the machine, as
    the entries of one site connect to the log service of the other.
    """
    with ports.copy_site(SITE, tmp_path / 'one') as one, ports.copy_site(
            SITE, tmp_path / 'two') as two:
        listens = {
            settings.load(site / f'{name}.toml').entry.listen
            for site in (one, two)
            for name in ('entry-a', 'entry-b')
        }
        assert len(listens) == 4
        with launch.run_processes(one, tmp_path / 'logs-1') as first:
            with launch.run_processes(two, tmp_path / 'logs-2') as second:
                assert all(p.poll() is None for p in first.values())
                assert all(p.poll() is None for p in second.values())


def test_a_port_is_reserved_while_its_site_exists():
    """A free port must be reserved, not only found.

    Otherwise two harnesses get the same port before either process listens on
    it, and one of the stand-ins cannot start.
    """
    with ports.allocator() as take, ports.allocator() as take_other:
        taken = {take() for _ in range(50)}
        assert taken.isdisjoint({take_other() for _ in range(50)})
