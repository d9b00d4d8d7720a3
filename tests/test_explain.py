"""From a request's id to its cause, on lines recorded on two days of trouble.

Each request below was not served. What is asserted is what an engineer on
call needs to read: why, at which replica, and what the entry believed.
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
    ('918f8d68849c97b3', 'may have run it and its answer is lost'),
    ('02db06bd1672b18a', 'its answer had begun and could not go on'),
    ('89369c96b007f33d', 'its process ended without a word'),
    ('de2c19be0f9e7592', 'could not confirm its configuration'),
    ('073dc9dc033bfe6f', 'the replica had no room for it'),
    ('b89ffb9f3c8fd9b7', 'the caller left before its answer began'),
    ('87fad52093d31612', 'the caller left in the middle of an answer'),
    ('62be38b5b605a633', 'does not hold its key'),
    ('2af1ac651a576002', 'gave no whole answer in time'),
    ('f0dd6fc94b28cdf5', "the replica's own error was passed on"),
])
def test_each_way_to_fail_has_its_cause(request_id, words):
    text = explain.explain(loglines.read_files(DAYS), request_id)
    assert words in text.split('cause: ')[1], text


def test_the_replica_at_fault_is_named():
    log = loglines.read_files(DAYS)
    sends = [
        ln.event.replica
        for ln in log.lines
        if isinstance(ln.event, loglines.Sent) and
        ln.event.rid == '918f8d68849c97b3'
    ]
    text = explain.explain(log, '918f8d68849c97b3')
    assert sends[-1] in text.split('cause: ')[1]


def test_beliefs_are_those_of_the_same_process_since_its_start(tmp_path):
    """Symptom: a cause names a belief of another entry, or of an earlier run
    of the same one. Cause: lines of all processes read as one."""
    (tmp_path / 'a.log').write_text(
        '{"event": "configuration", "version": 1}\n'
        '{"event": "started"}\n'
        '{"event": "configuration", "version": 7}\n'
        '{"event": "answered", "rid": "r1", "outcome": "denied", '
        '"code": "unknown_key"}\n')
    (tmp_path / 'b.log').write_text('{"event": "configuration", "version": 9}')
    text = explain.explain(
        loglines.read_files([tmp_path / 'b.log', tmp_path / 'a.log']), 'r1')
    assert 'configuration 7 came into force' in text
    assert 'configuration 1 ' not in text
    assert 'configuration 9 ' not in text


def test_an_entry_that_knows_nothing_yet_writes_lines_that_can_be_read():
    """Symptom: 39 lines of refusals just after a restart could not be decoded.
    Cause: the age of a proof that never came was written as Infinity."""
    from gorsefall.policy import freshness
    assert freshness.Confirmation(5.0).logged_age_s() is None


def test_spoilt_lines_are_counted_and_passed_over(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text('{"event": "answered", "rid": "r1", "outcome": "serv\n'
                    'no log line\n'
                    '{"event": "log_left_out", "lines": 3}\n'
                    '{"event": "answered", "rid": "r1", "outcome": "served"}\n')
    log = loglines.read_files([path])
    assert log.malformed == 1
    assert '1 spoilt lines' in explain.explain(log, 'r1')


def test_unknown_ids_and_missing_files_are_told(tmp_path, capsys):
    with pytest.raises(errors.UnknownRequestError):
        explain.explain(loglines.read_files(DAYS), 'nobody')
    assert cmdline.main(['explain', str(tmp_path / 'none.log'), 'r1']) == 2
    assert 'bad_log_file' in capsys.readouterr().err
    assert cmdline.main(['explain', 'r1']) == 2


def test_a_line_without_a_prefix_is_not_taken_for_one(tmp_path):
    """Symptom: lines of one file are told as those of several processes.
    Cause: the start of a line with an object within was read as a name."""
    path = tmp_path / 'entry-a.log'
    path.write_text('{"extra": {"a": 1}, "event": "answered", "rid": "r1", '
                    '"outcome": "served"}\n')
    assert loglines.read_files([path]).lines[0].process == 'entry-a'
