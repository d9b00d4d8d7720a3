"""Explanations of usage reports from logs of several entries."""

import pytest

from gorsefall import cmdline
from gorsefall import errors
from gorsefall import explainduties
from gorsefall import loglines

TAKEN = '1.0 a {"event": "claimed", "token": 3, "before": null}'
COUNTED = ('6.0 a {"event": "usage_counted", "window": 7, "requests": 40, '
           '"accounts": 2, "after_s": 1.0}')
ACCEPTED = ('6.1 a {"event": "usage_reported", "window": 7, '
            '"answer": "accepted"}')
UNKNOWN = '6.1 a {"event": "usage_reported", "window": 7, "answer": "unknown"}'
AWAY = ('6.1 a {"event": "platform_call_failed", "path": "/u", '
        '"error": "status 503"}')
LOST = ('6.2 a {"event": "duties_lost", "token": 3, '
        '"reason": "the store confirms no claim"}')
NEXT = '11.0 b {"event": "usage_reported", "window": 8, "answer": "accepted"}'


def _log(tmp_path, *rows):
    (tmp_path / 'all.log').write_text('\n'.join(rows) + '\n')
    return loglines.read_files([tmp_path / 'all.log'])


@pytest.mark.parametrize(('rows', 'words'), [
    ((TAKEN, COUNTED, ACCEPTED, NEXT), 'reported and accepted'),
    ((TAKEN, COUNTED, AWAY, UNKNOWN, NEXT), 'never accepted'),
    ((TAKEN, COUNTED, AWAY, UNKNOWN, NEXT), 'status 503'),
    ((TAKEN, COUNTED, LOST, NEXT), 'no claim was confirmed'),
    ((TAKEN, COUNTED, LOST, NEXT), 'the store confirms no claim'),
    ((TAKEN, LOST, NEXT), 'no entry fixed its counts'),
])
def test_each_way_to_miss_a_window_has_its_cause(tmp_path, rows, words):
    """An engineer on call cannot tell why a window is missing."""
    text = explainduties.explain(_log(tmp_path, *rows), 7)
    assert words in text.split('cause: ')[1], text


def test_lines_of_other_windows_are_left_out(tmp_path):
    """The lines of a day hide those that matter."""
    text = explainduties.explain(_log(tmp_path, TAKEN, COUNTED, ACCEPTED, NEXT),
                                 7)
    assert 'window 8' not in text
    assert 'took over the duties with the token 3' in text


def test_logs_without_duties(tmp_path):
    """The command prints nothing, or a traceback."""
    with pytest.raises(errors.UnknownRequestError):
        explainduties.explain(_log(tmp_path, '1.0 a {"event": "started"}'), 7)


def test_the_command_takes_a_window(tmp_path, capsys):
    """A window's number is taken for a request's id."""
    _log(tmp_path, TAKEN, COUNTED, ACCEPTED)
    path = str(tmp_path / 'all.log')
    assert cmdline.main(['explain', path, 'window:7']) == 0
    assert 'usage of window 7' in capsys.readouterr().out
    assert cmdline.main(['explain', path, 'window:x']) == 2
