"""Steps of the feature on parts of prompts on which replicas crash."""

import collections
import functools
import itertools
import signal
import time
import typing

from behave import given
from behave import then
from behave import when
from steps import paced
from steps import platform_site

import standin
import wire_callers
import wire_replica

from gorsefall.standins import acceptor
from gorsefall.standins import waiting

ENTRY_COUNT = 5
CALLER_THREADS = 96
ALL_UP_S = 6.0
"""Time in which all replicas are up again, s."""

SOUND_PER_S, CRASHING_PER_S = 40, 2
"""Requests per second at all entries."""

BURST_SOUND_PER_S = 70
"""Sound requests per second where many replicas exit at one moment: several
run at each replica."""

BEFORE_S, DURING_S = 3.0, 14.0
"""Time for which only sound requests come, and then both, s."""

KILLED_AFTER_S, DOWN_S = 2.5, 0.3
"""When an entry is killed after the first request that crashes, and for how
long, s."""

EVENT_PAUSE_S = 0.08
"""Pause between events, s: a sound stream runs for a third of a second."""

RECENT_RUN_S = 0.3
"""Time for which a run is recent: most of them are still under way, s."""

PROPAGATION_S = 3.0
"""Time in which all entries learn what one has observed, s: the platform's
bound."""

KNOWN_CRASHES = 5
"""Crashes under a part after which that time begins."""

MAX_LATE_RUNS = 3
"""Requests with a part that may reach replicas after that time."""

MIN_BEGUN_RATIO = 0.5
"""Least share of sound requests that begin twice that time after the crash,
relative to the share before."""

PLAIN_CRASHES, PLAIN_CRASHES_S = 10, 8.0
"""Replicas that crash by themselves, and the time in which they do, s."""

BURSTS_AFTER_S = 1.0
"""When replicas exit at one moment after the first request that crashes, s."""

MAX_REFUSED, MAX_REFUSED_RATIO = 5, 1 / 500
"""Sound requests that may be refused for good: a number, and a share of all,
which the platform's rules add up."""

TRANSIENT_STATUSES = 408, 421, 429
"""Statuses that do not say that the request is wrong."""

DEADLINE_MS = 1500
BAD, COMMON = wire_replica.CRASH_PART, 'c0'
FIRST_PARTS, TOPICS = ('c1', 'c2', 'c3'), ('d1', 'd2', 'd3', 'd4')

MANY_TOPICS = tuple(f'd{i}' for i in range(1, 25))


class Layout(typing.NamedTuple):
    """The shared parts of prompts.

    Attributes:
        crashing: Prompts that crash replicas, each a tuple of part ids.
        sound: Prompts that do not.
    """
    crashing: tuple
    sound: tuple


def _product(*parts):
    return tuple(itertools.product(*parts))


LAYOUTS = {
    'second, after one first part':
        Layout(((COMMON, BAD),), _product((COMMON,), TOPICS)),
    'first':
        Layout(_product((BAD,), TOPICS), _product((COMMON,), TOPICS)),
    'second, after several first parts':
        Layout(_product(FIRST_PARTS, (BAD,)), _product(FIRST_PARTS, TOPICS)),
    'second, before a sound part':
        Layout(_product((COMMON,), (BAD,), TOPICS), _product((COMMON,),
                                                             TOPICS)),
    'always before the same sound part':
        Layout(((COMMON, BAD, TOPICS[0]),), _product((COMMON,), TOPICS)),
    'second, and sound prompts have many second parts':
        Layout(((COMMON, BAD),), _product((COMMON,), MANY_TOPICS)),
}


class Sent(typing.NamedTuple):
    """A request and what its caller got.

    Attributes:
        at: When it was sent, s (monotonic).
        crashes: Whether it crashes replicas.
        took_s: Time until the end of the response, s.
        response: The ``wire_callers.Response``, or None without a connection.
    """
    at: float
    crashes: bool
    took_s: float
    response: wire_callers.Response | None

    @property
    def begun(self):
        """Whether its caller got part of a stream."""
        return (self.response is not None and self.response.status == 200 and
                bool(self.response.body))


@given('five entries on the platform before {count:d} model replicas that can '
       'crash')
def step_site(context, count):
    context.exited = []
    context.sites = platform_site.new_sites(context, ENTRY_COUNT, revoke_s=4.0)
    first = context.platform = context.sites[0]

    def slow_down(replica):
        replica.event_pause_s = EVENT_PAUSE_S

    first.on_add = slow_down
    for i in range(count):
        first.add_crashable(f'e{i}', 'pool')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)


@given('only {count:d} model replicas are left')
def step_few_replicas(context, count):
    site = context.platform
    for name in list(site.replicas)[count:]:
        site.store.put('keyed.servers', name, None)
        site.replicas[name].close()
    time.sleep(0.5)


@given('prompts in which the part that crashes replicas stands {where}')
def step_layout(context, where):
    context.layout = LAYOUTS[where]


class _Load:
    """Sends requests at a fixed rate and collects what their callers got."""

    def __init__(self, context, sound_per_s=SOUND_PER_S):
        self._context = context
        self._sound_per_s = sound_per_s
        self._calls = paced.PacedCalls(CALLER_THREADS)
        self._entries = itertools.cycle(context.sites)
        self._prompts = {
            True: itertools.cycle(context.layout.crashing),
            False: itertools.cycle(context.layout.sound)
        }

    def _send(self, crashes):
        rid = platform_site.new_rid(self._context)
        parts = (*next(self._prompts[crashes]), rid)
        self._calls.submit(_send, next(self._entries), rid, parts, crashes)

    def run(self, duration_s, crashing_per_s=0, actions=()):
        """Sends requests for a time.

        Args:
            duration_s: For how long, s.
            crashing_per_s: Rate of those that crash replicas.
            actions: Other ``(time from now in s, action)`` pairs.
        """
        due = [(i / self._sound_per_s, lambda: self._send(False))
               for i in range(round(duration_s * self._sound_per_s))]
        due += [(i / crashing_per_s, lambda: self._send(True))
                for i in range(round(duration_s * crashing_per_s))]
        self._calls.run([*due, *actions])

    def results(self):
        """Returns all ``Sent`` objects once their responses have ended."""
        return self._calls.results()


def _send(site, rid, parts, crashes):
    at = time.monotonic()
    prefix = ','.join(f'{part}:300' for part in parts)
    try:
        response = wire_callers.send_request(
            site.callers,
            platform_site.PATH_BY_KIND['streaming'],
            rid,
            body=f'prompt {rid}'.encode(),
            deadline_ms=DEADLINE_MS,
            extra=('Model: m', f'Token-Count: {300 * len(parts)},20',
                   f'Prompt-Prefix: {prefix}'))
    except OSError:
        response = None
    return Sent(at, crashes, time.monotonic() - at, response)


def _crashing_runs(context):
    """Returns the sorted times of the runs that crash replicas."""
    return sorted(req.at
                  for replica in list(context.platform.replicas.values())
                  for req in replica.runs
                  if BAD in req.headers.get('prompt-prefix', ''))


def _crash_times(context):
    """Returns the sorted times of the crashes, without those of bursts."""
    return sorted(r.crashed_at
                  for r in list(context.platform.replicas.values())
                  if r.crashed and r not in context.exited)


@when('sound requests come, and then requests with that part among them')
def step_both(context):
    load = _Load(context)
    load.run(BEFORE_S)
    context.mixed_at = time.monotonic()
    load.run(DURING_S, CRASHING_PER_S)
    context.sent = load.results()


@when('sound requests come, and then requests with that part among them, and '
      'an entry is killed and restarted')
def step_both_and_kill(context):
    load = _Load(context)
    load.run(BEFORE_S)
    context.mixed_at = time.monotonic()
    load.run(KILLED_AFTER_S, CRASHING_PER_S)
    site = context.sites[-1]
    site.proc.send_signal(signal.SIGKILL)
    site.proc.wait()
    time.sleep(DOWN_S)
    site.start()
    load.run(DURING_S - KILLED_AFTER_S, CRASHING_PER_S)
    context.sent = load.results()


@then('at most three requests with that part reach replicas after the entries '
      'had time to share crashes')
def step_few_runs(context):
    crash_times = _crash_times(context)
    runs = _crashing_runs(context)
    assert len(runs) >= 3, runs
    known_at = max(crash_times[:KNOWN_CRASHES]) + PROPAGATION_S
    late = [round(at - known_at, 2) for at in runs if at > known_at]
    assert len(late) <= MAX_LATE_RUNS, (len(runs), len(crash_times), late)


@then('the last callers with that part get a final response at once')
def step_final(context):
    last = [s for s in context.sent if s.crashes][-ENTRY_COUNT:]
    for sent in last:
        assert sent.response.status == 400 and sent.response.complete, sent
        assert 'retry-after' not in sent.response.headers, sent


def _begun_share(sent):
    assert sent
    return sum(s.begun for s in sent) / len(sent)


@then('sound requests begin at least half as often as before')
def step_sound(context):
    sound = [s for s in context.sent if not s.crashes]
    known_at = max(_crash_times(context)[:KNOWN_CRASHES])
    before = [s for s in sound if s.at < context.mixed_at]
    after = [s for s in sound if s.at > known_at + 2 * PROPAGATION_S]
    shares = _begun_share(before), _begun_share(after)
    assert shares[1] >= MIN_BEGUN_RATIO * shares[0], (
        shares,
        collections.Counter(s.response and s.response.status for s in after))


@then('requests with that part soon get a final response there')
def step_final_after_restart(context):
    before = len(_crashing_runs(context))
    for i, site in enumerate(context.sites):
        rid = platform_site.new_rid(context)
        parts = (*context.layout.crashing[0], rid)
        sent = _send(site, rid, parts, True)
        assert sent.response.status == 400, (i, sent)
    assert len(_crashing_runs(context)) == before


@when('sound requests come, and replicas crash by themselves, ten in eight '
      'seconds')
def step_plain_crashes(context):
    load = _Load(context)
    load.run(BEFORE_S)
    for _ in range(PLAIN_CRASHES):
        load.run(PLAIN_CRASHES_S / PLAIN_CRASHES)
        waiting.until(lambda: _live(context), 'a replica to be up')[0].crash()
    context.calm_at = time.monotonic() + ALL_UP_S
    load.run(ALL_UP_S + BEFORE_S)
    context.sent = load.results()


def _busiest(context):
    """Returns the live replicas, those that began most runs just now first."""
    since = time.monotonic() - RECENT_RUN_S

    def recent_run_count(replica):
        return sum(req.at > since for req in replica.runs)

    return sorted(_live(context), key=recent_run_count, reverse=True)


def _bursts(context, counts, span_s, after_s=0.0):
    """Returns actions in each of which replicas exit at one moment.

    Args:
        context: The context of the scenario.
        counts: Number of replicas for each, separated by commas.
        span_s: Time from the first to the last, s.
        after_s: When the first is due, s from now.
    """
    counts = [int(count) for count in counts.split(',')]

    def exit_at_once(count):
        exiting = _busiest(context)[:count]
        context.exited += exiting
        acceptor.shut_down_together(exiting)
        for replica in exiting:
            replica.crash()
        assert _live(context), 'no replica is left'

    gap_s = span_s / max(1, len(counts) - 1)
    return [(after_s + i * gap_s, functools.partial(exit_at_once, count))
            for i, count in enumerate(counts)]


@when('sound requests come for {warm_up_s:g} s, and then {counts} replicas '
      'exit, each time at one moment, within {span_s:g} s')
def step_bursts(context, warm_up_s, counts, span_s):
    load = _Load(context, BURST_SOUND_PER_S)
    load.run(warm_up_s)
    context.calm_at = time.monotonic() + span_s + ALL_UP_S
    load.run(span_s + ALL_UP_S + BEFORE_S,
             actions=_bursts(context, counts, span_s))
    context.sent = load.results()


@when('sound requests come, and then requests with that part among them, and '
      '{counts} replicas exit, each time at one moment, within {span_s:g} s')
def step_both_and_bursts(context, counts, span_s):
    load = _Load(context)
    load.run(BEFORE_S)
    context.mixed_at = time.monotonic()
    load.run(DURING_S,
             CRASHING_PER_S,
             actions=_bursts(context, counts, span_s, BURSTS_AFTER_S))
    context.sent = load.results()


def _refused_for_good(sent):
    """Whether the caller got an entry's own 3xx or 4xx that is final."""
    response = sent.response
    return (response is not None and 300 <= response.status < 500 and
            response.status not in TRANSIENT_STATUSES and
            'replica-seal' not in response.headers)


@then('almost no sound request is refused for good')
def step_few_refused(context):
    sound = [s for s in context.sent if not s.crashes]
    refused = [s for s in sound if _refused_for_good(s)]
    assert len(refused) <= MAX_REFUSED + MAX_REFUSED_RATIO * len(sound), (
        len(refused), len(sound),
        collections.Counter(s.response.status for s in refused))


def _live(context):
    return [
        r for r in list(context.platform.replicas.values()) if not r.crashed
    ]


@then('all sound requests begin afterwards')
def step_all_begin(context):
    after = [s for s in context.sent if s.at > context.calm_at]
    assert _begun_share(after) == 1.0, [s for s in after if not s.begun]


@then('no entry marks any part')
def step_none_marked(context):
    for site in context.sites:
        blamed = [
            ln for ln in site.log()
            if ln['event'] in ('request_blamed', 'part_blamed')
        ]
        assert not blamed, blamed
