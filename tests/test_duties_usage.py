"""Usage reports: counted once, by windows of true time."""

import collections

import duty_site
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gorsefall.duties import reports
from gorsefall.duties import truetime
from gorsefall.duties import usage


class _Traffic:
    """Requests at the entries of a site, and what is to be reported."""

    def __init__(self, site):
        self.site = site
        self.expected = collections.defaultdict(collections.Counter)

    def run(self, seconds, accounts=('a', 'b')):
        """Runs one request an entry and step of 0.2 s."""
        for i in range(int(seconds * 5)):
            for j, entry in enumerate(self.site.entries.values()):
                account = accounts[(i + j) % len(accounts)]
                entry.run(account)
                true_s = duty_site.EPOCH_S + self.site.loop.now
                window = int(true_s // duty_site.WINDOW_S)
                self.expected[window][account] += 1
            self.site.run(0.2)

    def check(self, but=0):
        """Checks the reports of all windows that are over for long."""
        for window in sorted(self.expected)[:-2]:
            reported = self.site.platform.usage[window]
            for account, count in self.expected[window].items():
                assert abs(reported[account] - count) <= but, window


def _site(count=4):
    site = duty_site.Site(count)
    # No request lies at the boundary of two windows.
    site.run(9.07)
    return site


def test_all_windows_are_reported_whole():
    """A window is missing, or lacks what some entries counted."""
    traffic = _Traffic(_site())
    traffic.run(42.0)
    traffic.check()


def test_lost_messages_do_not_change_the_counts():
    """One lost datagram leaves out what an entry counted."""
    site = _site()
    site.loss = 0.2
    traffic = _Traffic(site)
    traffic.run(42.0)
    traffic.check()


def test_windows_are_of_true_time_while_clocks_step():
    """The clock of an entry jumps, and its requests count elsewhere."""
    site = _site(6)
    traffic = _Traffic(site)
    traffic.run(8.0)
    for entry, step_s in zip(site.entries.values(), (3.0, -4.0), strict=False):
        entry.clock_step_s = step_s
    traffic.run(12.0)
    for entry in site.entries.values():
        entry.clock_step_s = 0.0
    traffic.run(16.0)
    traffic.check(but=4)


def test_a_successor_reports_what_its_predecessor_fixed():
    """A report whose answer was lost is made again with other counts."""
    site = _site()
    traffic = _Traffic(site)
    old, = site.holders()
    traffic.run(6.0)
    old.client.faults.extend(['late'] * 20)
    traffic.run(6.0)
    old.kill()
    traffic.run(30.0)
    assert not site.platform.violations


def test_the_counts_of_an_entry_that_ends_are_kept():
    """The counts of a process are lost with it, or by its restart."""
    site = _site()
    traffic = _Traffic(site)
    traffic.run(6.0)
    victim = next(e for e in site.entries.values() if e not in site.holders())
    victim.restart()
    traffic.run(30.0)
    # What it counted since its last report is lost.
    traffic.check(but=6)


def test_reports_wait_for_the_platform():
    """A window that ends during an outage of the platform is never reported."""
    site = _site()
    traffic = _Traffic(site)
    traffic.run(6.0)
    site.platform.up = False
    traffic.run(6.0)
    site.platform.up = True
    traffic.run(20.0)
    traffic.check()


def test_a_holder_that_cannot_reach_the_platform_hands_over():
    """One entry's link to the platform decides over all reports."""
    site = _site()
    traffic = _Traffic(site)
    traffic.run(6.0)
    old, = site.holders()
    old.client.up = False
    traffic.run(34.0)
    traffic.check()
    assert not old.lease.held


def test_short_windows_are_reported_after_an_entry_ended():
    """While the holder waits for an entry that ended, windows that are short
    leave the range that it still fixes, and none is reported again."""
    site = duty_site.Site(3, window_s=1.0)
    site.run(9.07)
    victim = next(e for e in site.entries.values() if e not in site.holders())
    victim.kill()
    before = len(site.platform.usage)
    _Traffic(site).run(12.0)
    assert len(site.platform.usage) >= before + 6


def test_a_rejected_report_is_not_repeated():
    """A report that the platform does not understand is sent without end."""
    site = _site()
    holder, = site.holders()
    holder.client.faults.extend(['rejected'] * 50)
    _Traffic(site).run(22.0)
    assert len(holder.client.faults) >= 45
    assert holder.lease.held


_REPORTS = st.lists(
    st.tuples(st.sampled_from('pq'), st.integers(1, 2), st.integers(5, 9),
              st.integers(0, 40)))


@hypothesis_settings(max_examples=300, deadline=None)
@given(_REPORTS, st.randoms())
def test_collector_counts_each_process_once(sent, rng):
    """Reports that arrive twice or out of order are added up again."""
    processes = collections.defaultdict(dict)
    made = []
    for name, started, window, count in sorted(sent, key=lambda s: s[2]):
        counts = processes[name, started]
        counts[window] = max(count, counts.get(window, 0))
        made.append(
            reports.EntryReport(name, started, window, {
                w: {
                    'a': n
                } for w, n in counts.items()
            }))
    collector = usage.UsageCollector()
    arrivals = made + made[::2]
    rng.shuffle(arrivals)
    # The last state of each process always arrives.
    for report in [*arrivals, *made]:
        collector.record(report)
    expected = sum(counts.get(9, 0) for counts in processes.values())
    assert collector.total(9).get('a', 0) == expected


def test_the_median_clock_ignores_a_minority():
    """One clock that is wrong by an hour moves true time."""
    now = [100.0]
    estimate = truetime.TrueTime(lambda: now[0], lambda: now[0] + 5000.0)
    for host, offset in (('a', 1000.0), ('b', 1000.2), ('c', 999.9)):
        estimate.record_clock(host, now[0] + offset)
    assert abs(estimate.now() - 1100.0) < 0.3
    now[0] += truetime.MAX_CLOCK_AGE_S + 1
    assert estimate.now() == now[0] + 5000.0
