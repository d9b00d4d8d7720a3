"""Two sites on one machine do not meet."""

import pathlib

from gorsefall import settings
from gorsefall.standins import launch
from gorsefall.standins import ports

SITE = pathlib.Path(__file__).parent.parent / 'features' / 'site'


def test_two_sites_run_side_by_side(tmp_path):
    """Two suites at once.

    Symptom: scenarios failed beside a second run and never alone.
    Sequence: two sites start on one machine with the same settings.
    Cause: fixed ports; the second site's entries spoke to the first's log.
    """
    with ports.site(SITE, tmp_path / 'one') as one, ports.site(
            SITE, tmp_path / 'two') as two:
        listens = {
            settings.load(site / f'{name}.toml').entry.listen
            for site in (one, two)
            for name in ('entry-a', 'entry-b')
        }
        assert len(listens) == 4
        with launch.processes(one, tmp_path / 'logs-1') as first:
            with launch.processes(two, tmp_path / 'logs-2') as second:
                assert all(p.poll() is None for p in first.values())
                assert all(p.poll() is None for p in second.values())


def test_a_port_is_reserved_while_its_site_lasts():
    """Port given twice.

    Symptom: a stand-in that cannot listen. Sequence: two harnesses ask for a
    port before either process listens. Cause: free is not reserved.
    """
    with ports.free() as take, ports.free() as other:
        mine = {take() for _ in range(50)}
        assert mine.isdisjoint({other() for _ in range(50)})
