"""The replica directory against a simple oracle."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.relay import fleet
from gorsefall.relay import model

SERVICES = {
    name: model.Service(name=name, max_connections=60) for name in ('s', 't')
}


class Loop:
    """Timers that the test runs by hand."""

    def __init__(self):
        self.due = []

    def later(self, delay_s, callback):
        self.due.append(callback)


def record(name, status=model.ReplicaStatus.READY, service='s'):
    return model.ReplicaRecord(id=name,
                               service=service,
                               addr=('127.0.0.1', 1),
                               zone='z',
                               slots=4,
                               status=status)


def names(directory, service='s'):
    return {r.record.id for r in directory.candidates(service, ())}


_STEPS = st.lists(st.tuples(st.sampled_from(['put', 'drain', 'remove']),
                            st.sampled_from('abcd')),
                  max_size=40)


@given(_STEPS, st.booleans())
def test_new_work_goes_to_the_ready_only(steps, listed_at_end):
    """Work for a replica that left.

    Symptom: a request reaches a replica seconds after it said that it is
    draining. Cause: a record was passed over.
    """
    directory = fleet.Fleet(Loop())
    directory.services_changed(SERVICES)
    truth = {}
    for what, name in steps:
        if what == 'remove':
            directory.remove(name, 0.0)
            truth.pop(name, None)
            continue
        status = (model.ReplicaStatus.READY
                  if what == 'put' else model.ReplicaStatus.DRAINING)
        truth[name] = record(name, status)
        directory.put(truth[name])
    if listed_at_end:
        directory.reset(list(truth.values()), 0.0)
    ready = {
        n for n, r in truth.items() if r.status is model.ReplicaStatus.READY
    }
    assert names(directory) == ready


def test_lapsed_records_are_a_last_resort_until_they_had_time():
    """Nothing to send to after an outage.

    Symptom: refusals for seconds after the store's return. Sequence: the
    store is away, records lapse since nobody can write, it returns. Cause:
    the lapsed replicas were dropped though they live.
    """
    loop = Loop()
    directory = fleet.Fleet(loop)
    directory.services_changed(SERVICES)
    for name in 'ab':
        directory.put(record(name))
    directory.store_lost()
    directory.store_back(10.0)
    directory.remove('a', 10.1)
    assert names(directory) == {'b'}
    directory.remove('b', 10.1)
    assert names(directory) == {'a', 'b'}
    directory.put(record('b'))
    assert names(directory) == {'b'}
    for callback in loop.due:
        callback()
    assert set(directory.replicas) == {'b'}


def test_a_record_before_its_service():
    """A replica whose service comes with a later configuration is kept."""
    directory = fleet.Fleet(Loop())
    directory.put(record('a', service='t'))
    assert not names(directory, 't')
    directory.services_changed(SERVICES)
    assert names(directory, 't') == {'a'}


def test_a_replaced_replica_gets_no_more_work_though_its_record_lives():
    """Refusals after a replica was restarted in place.

    Symptom: for three seconds a part of the requests is refused. Sequence: a
    replica crashes, its successor takes the address under a new id, the old
    record lapses only after three heartbeats. Cause: the record was believed
    more than the answer from the address.
    """
    directory = fleet.Fleet(Loop())
    directory.services_changed(SERVICES)
    for name in 'ab':
        directory.put(record(name))
    directory.replaced('a')
    directory.services_changed(SERVICES)
    directory.put(record('a'))
    assert names(directory) == {'b'}
    directory.remove('a', 0.0)
    assert names(directory) == {'b'}
