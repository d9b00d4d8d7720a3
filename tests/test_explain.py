"""Explanations of failed requests, from logs of two days with faults.

None of the requests below was served. The tests assert what an engineer on
call needs: the cause, the replica, and the state that the entry observed.
"""

import pathlib

import pytest

from gorsefall import cmdline
from gorsefall import errors
from gorsefall import explain
from gorsefall import loglines

DATA = pathlib.Path(__file__).parent / 'data'
DAYS = sorted(DATA.glob('*.log'))


@pytest.mark.parametrize('request_id, words', [
    ('4e631821750f597b', 'had not read any configuration yet'),
    ('918f8d68849c97b3', 'may have run it and its response is lost'),
    ('02db06bd1672b18a', 'its response had begun and could not be completed'),
    ('89369c96b007f33d', 'its process exited without logging it'),
    ('de2c19be0f9e7592', 'could not confirm its configuration'),
    ('073dc9dc033bfe6f', 'the replica had no capacity for it'),
    ('b89ffb9f3c8fd9b7', 'the caller left before its response began'),
    ('87fad52093d31612', 'the caller left in the middle of a response'),
    ('62be38b5b605a633', 'does not contain its API key'),
    ('2af1ac651a576002', 'did not complete the response in time'),
    ('f0dd6fc94b28cdf5', "the replica's own error was forwarded"),
])
def test_each_way_to_fail_has_its_cause(request_id, words):
    text = explain.explain(loglines.read_files(DAYS), request_id)
    assert words in text.split('cause: ')[1], text


def test_the_failed_replica_is_named():
    log = loglines.read_files(DAYS)
    replicas = [
        ln.event.replica
        for ln in log.lines
        if isinstance(ln.event, loglines.Sent) and
        ln.event.rid == '918f8d68849c97b3'
    ]
    text = explain.explain(log, '918f8d68849c97b3')
    assert replicas[-1] in text.split('cause: ')[1]


def test_replicas_that_accept_no_requests_are_explained(tmp_path):
    """An engineer on call cannot tell which replica asked for what."""
    (tmp_path / 'a.log').write_text(
        '{"event": "replica_leaving", "replica": "i-1"}\n'
        '{"event": "replica_paused", "replica": "i-2", "for_s": 2.5}\n'
        '{"event": "limit_announced", "replica": "i-3", "per_s": 0.5}\n'
        '{"event": "replica_paused", "replica": "i-9", "for_s": 9}\n'
        '{"event": "answered", "rid": "r1", "outcome": "refused", '
        '"code": "no_replica", "error": "no replica of s is left '
        '(i-1 leaving, i-2 paused, i-3 limited)", "retry_after_s": 2.6}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    state = text.split('decisions:')[0]
    assert 'i-1 announced its exit' in state
    assert 'i-2 refused a request and asked for a pause of 2.5 s' in state
    assert 'i-3 announced 0.5 requests a second' in state
    assert 'i-9' not in text


def test_a_forwarded_request_is_followed_through_both_entries(tmp_path):
    """An engineer on call sees a request leave one entry, and not what the
    entry that forwarded it saw."""
    (tmp_path / 'a.log').write_text(
        '{"event": "paths_lost", "service": "s", "not_reached": ["i-1"], '
        '"reached": "i-1", "by": "10.0.0.2"}\n'
        '{"event": "sent", "rid": "r1", "replica": "i-1", "attempt": 1, '
        '"priority": 1, "outstanding": 1, "others": 0, "via": "10.0.0.2"}\n'
        '{"event": "answered", "rid": "r1", "outcome": "outcome_unknown", '
        '"code": "outcome_unknown", "error": "i-1 may have run it"}\n')
    (tmp_path / 'b.log').write_text(
        '{"event": "forwarded", "rid": "r1", "replica": "i-1", '
        '"entry": "10.0.0.1", "outcome": "lost", "ms": 40.2}\n')
    text = explain.explain(
        loglines.read_files([tmp_path / 'a.log', tmp_path / 'b.log']), 'r1')
    assert 'could not connect to i-1 of s; 10.0.0.2 reached' in text
    assert 'through the entry at 10.0.0.2' in text
    assert 'forwarded for 10.0.0.1 to i-1: lost after 40.2 ms' in text
    assert 'may have run it' in text.split('cause: ')[1]


def test_observed_state_is_of_the_same_process_since_its_start(tmp_path):
    """Lines of other processes must not be mixed in.

    Otherwise the explanation shows the state of another entry, or of an
    earlier process of the same entry.
    """
    (tmp_path / 'a.log').write_text(
        '{"event": "configuration", "version": 1}\n'
        '{"event": "started"}\n'
        '{"event": "configuration", "version": 7}\n'
        '{"event": "answered", "rid": "r1", "outcome": "denied", '
        '"code": "unknown_key"}\n')
    (tmp_path / 'b.log').write_text('{"event": "configuration", "version": 9}')
    text = explain.explain(
        loglines.read_files([tmp_path / 'b.log', tmp_path / 'a.log']), 'r1')
    assert 'configuration 7 became active' in text
    assert 'configuration 1 ' not in text
    assert 'configuration 9 ' not in text


def test_log_lines_before_the_first_confirmation_are_valid_json():
    """The age of a missing confirmation must not be logged as Infinity.

    JSON has no Infinity, so lines of requests refused just after a restart
    could not be decoded.
    """
    from gorsefall.policy import freshness
    assert freshness.Confirmation(5.0).logged_age_s() is None


def test_malformed_lines_are_counted_and_skipped(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text('{"event": "answered", "rid": "r1", "outcome": "serv\n'
                    'no log line\n'
                    '{"event": "log_left_out", "lines": 3}\n'
                    '{"event": "answered", "rid": "r1", "outcome": "served"}\n')
    log = loglines.read_files([path])
    assert log.malformed == 1
    assert '1 malformed lines were skipped' in explain.explain(log, 'r1')


def test_unknown_ids_and_missing_files_are_reported(tmp_path, capsys):
    with pytest.raises(errors.UnknownRequestError):
        explain.explain(loglines.read_files(DAYS), 'nobody')
    assert cmdline.main(['explain', str(tmp_path / 'none.log'), 'r1']) == 2
    assert 'bad_log_file' in capsys.readouterr().err
    assert cmdline.main(['explain', 'r1']) == 2


def test_the_start_of_a_json_line_is_not_taken_for_a_prefix(tmp_path):
    """The text before a nested object must not be read as a process name.

    Otherwise the lines of one file appear as lines of several processes.
    """
    path = tmp_path / 'entry-a.log'
    path.write_text('{"extra": {"a": 1}, "event": "answered", "rid": "r1", '
                    '"outcome": "served"}\n')
    assert loglines.read_files([path]).lines[0].process == 'entry-a'


@pytest.mark.parametrize('line, words', [
    ('"outcome": "broken_off", "code": "outcome_unknown", '
     '"cause": "unknown_key"', 'does not contain its API key'),
    ('"outcome": "caller_lost", "code": "caller_lost", "first_ms": 30, '
     '"disconnect": "Connection timed out"', '(Connection timed out)'),
    ('"outcome": "caller_yielded", "code": "caller_yielded", "first_ms": 30, '
     '"error": "others need places"', 'others needed what it held (others'),
    ('"outcome": "refused", "code": "memory_short"', 'had no memory for it'),
])
def test_what_broke_off_a_response_is_named(tmp_path, line, words):
    """An engineer on call cannot tell who ended a response that had begun."""
    (tmp_path / 'a.log').write_text('{"event": "answered", "rid": "r1", ' +
                                    line + '}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    assert words in text.split('cause: ')[1], text


def test_a_silent_attempt_that_goes_on_is_explained(tmp_path):
    """An engineer on call cannot tell why a stream paused, and at whom."""
    (tmp_path / 'a.log').write_text(
        '{"event": "not_taken_over", "rid": "r1", "code": "unknown_key", '
        '"error": "key not known to configuration 2"}\n'
        '{"event": "kept", "rid": "r1", "replica": "i-1", '
        '"by": "new_impossible"}\n'
        '{"event": "answered", "rid": "r1", "outcome": "served"}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    assert 'key not known to configuration 2' in text
    assert 'the attempt at i-1, which was silent, goes on' in text


def test_a_stream_that_may_go_on_nowhere_is_explained(tmp_path):
    """An engineer on call sees a refusal, and not that nobody knew where the
    caller's stream began."""
    (tmp_path / 'a.log').write_text(
        '{"event": "stream_taken_up", "rid": "r2", "began_as": "r1", '
        '"software": null, "reason": "several_versions", "answers": 5}\n'
        '{"event": "answered", "rid": "r2", "outcome": "refused", '
        '"code": "stream_unknown"}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r2')
    assert 'takes up the stream of r1, which may go on nowhere' in text
    assert 'several versions served' in text.split('cause: ')[1]


def test_a_stream_that_ended_inside_an_event_is_explained(tmp_path):
    """An engineer on call sees a stream that was served."""
    (tmp_path / 'a.log').write_text(
        '{"event": "sent", "rid": "r1", "replica": "i-1", "software": "v1"}\n'
        '{"event": "attempt_failed", "rid": "r1", "replica": "i-1", '
        '"reason": "ended inside an event", "sent": true, "after_ms": 9.0}\n'
        '{"event": "answered", "rid": "r1", "outcome": "broken_off", '
        '"code": "outcome_unknown", "cause": "outcome_unknown", '
        '"ending": "closed", "stream_end": "inside_event"}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    assert 'software v1' in text
    assert 'ended by the end of its connection' in text
    assert 'i-1 failed after 9 ms (ended inside an event)' in text.split(
        'cause: ')[1]


def test_what_an_entry_may_use_of_limits_and_places_is_explained(tmp_path):
    """An engineer on call sees refusals before replicas that are idle."""
    (tmp_path / 'a.log').write_text(
        '{"event": "limit_part_changed", "replica": "i-1", "part": 0.725}\n'
        '{"event": "places_borrowed", "service": "pool", "places": 7}\n'
        '{"event": "sent", "rid": "r1", "replica": "i-1", "service": "pool"}\n'
        '{"event": "answered", "rid": "r1", "outcome": "served"}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    assert 'this entry may use 72% of the limit of i-1' in text
    assert 'lent this one 7 places at replicas of pool' in text


def test_a_store_that_came_back_older_is_explained(tmp_path):
    """An engineer on call cannot tell why an entry used which version."""
    (tmp_path / 'a.log').write_text(
        '{"event": "store_restored", "topic": "keyed.op", "era": 2, '
        '"before": 1, "end": 5, "offset": 8}\n'
        '{"event": "store_is_behind", "version": 6, "stored": 4}\n'
        '{"event": "confirmation_withheld", "version": 5, "told": 6}\n'
        '{"event": "lost_version_told", "version": 6, "stored": 4}\n'
        '{"event": "sent", "rid": "r1", "replica": "i-1", "service": "pool"}\n'
        '{"event": "answered", "rid": "r1", "outcome": "served"}\n')
    text = explain.explain(loglines.read_files([tmp_path / 'a.log']), 'r1')
    assert 'came back from an older copy for keyed.op (era 2)' in text
    assert 'the store held version 4 only, 6 stayed active' in text
    assert 'another entry sent version 6' in text


def test_a_send_tells_how_old_the_list_of_replicas_was():
    """Nothing told whether a late send went by what another entry had told."""
    text = explain.describe(
        loglines.Sent(rid='r',
                      replica='i-1',
                      replicas_age_s=2.31,
                      told_by='10.1.0.4',
                      lapsed=True))
    assert "records confirmed 2.31 s earlier, told by 10.1.0.4" in text
    assert 'this replica has no record any more' in text


@pytest.mark.parametrize(('listed', 'why'), [(True, 'too old'),
                                             (False, 'had left')])
def test_a_request_that_was_withheld_is_explained(listed, why):
    """A request went to another replica, and nothing said why."""
    line = loglines.Withheld(rid='r', replica='i-1', listed=listed)
    assert why in explain.describe(line)


def test_a_wait_for_the_records_of_the_replicas_is_explained():
    """A request that waited looked as if nothing had happened to it."""
    line = loglines.AwaitsReplicas(rid='r')
    assert "waits for a read of the replicas' records" in explain.describe(line)
