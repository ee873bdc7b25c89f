import pytest
from tornado import httputil

from pimentowick.platform import message


@pytest.mark.parametrize("text", ["nan", "-nan", "inf", "-inf", "1e400", "", "soon"])
def test_time_that_is_no_finite_number_counts_as_absent(text):
    # Guards against a wait that nothing ends, and a timer at no time, which upsets the
    # order of all timers of the process.
    headers = httputil.HTTPHeaders({message.DEADLINE: text, message.MAX_WAIT: text})
    call = message.decode_request_headers(headers)
    assert call.deadline_s is None
    assert call.wait_s == 0.0
