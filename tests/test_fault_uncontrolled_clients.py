"""Fault: clients that nobody controls fill the memory or the descriptors of a node.

Each crowd keeps to legal sizes or goes far over them, and most of its input stops just short of its
end. The process must live, stay within its limits and answer ordinary requests. No times and no
share of served requests are checked.
"""

import pytest

from tests.uncontrolled_clients import LEGAL_BODY_BYTES, Crowd, crowd_request, run_crowd

MEMORY_LIMIT_MB = 90
MAX_OPEN_FILES = 500

CHUNKED = crowd_request("/book/x", "POST", "transfer-encoding: chunked")


def chunks(size, count):
    """The start of a chunked body, without its last chunk."""
    return (b"%x\r\n%s\r\n" % (size, b"b" * size)) * count


def sized(length, sent):
    """An upload that states `length` and sends `sent` bytes."""
    return crowd_request("/book/x", "POST", f"content-length: {length}") + b"b" * sent


PIPELINED = (crowd_request("/read/held"), crowd_request("/read/x") * 3_000)
MANY_LINES = crowd_request("/book/x", "POST", "content-length: 10", *["a:b"] * 3_000) + b"b" * 9

CROWDS = {
    "small_chunked_bodies": Crowd(1_500, (CHUNKED, chunks(1_000, 60))),
    "small_sized_bodies": Crowd(1_600, (sized(65_000, 64_999),)),
    "small_sized_bodies_in_pieces": Crowd(
        1_600, (sized(65_000, 20_000), b"b" * 20_000, b"b" * 24_999), pause_s=0.3
    ),
    "large_sized_bodies": Crowd(200, (sized(LEGAL_BODY_BYTES, LEGAL_BODY_BYTES - 1),)),
    "large_sized_bodies_in_pieces": Crowd(
        200, (sized(LEGAL_BODY_BYTES, 300_000), *[b"b" * 300_000] * 12), pause_s=0.1
    ),
    "large_chunked_bodies": Crowd(250, (CHUNKED, chunks(16_000, 250))),
    "bodies_in_chunks_of_one_byte": Crowd(500, (CHUNKED, chunks(1, 60_000)), hold_s=5.0),
    "bodies_announced_far_over_the_limit": Crowd(300, (sized(40_000_000, 4_000_000),)),
    "bodies_unannounced_far_over_the_limit": Crowd(300, (CHUNKED, chunks(16_000, 500))),
    "heads_without_end": Crowd(2_800, (b"GET /book/x HTTP/1.1\r\nx-a: " + b"a" * 15_000,)),
    "heads_of_many_lines": Crowd(400, (MANY_LINES,)),
    "pipelined_requests": Crowd(500, PIPELINED),
    "slow_readers_of_large_answers": Crowd(150, (crowd_request("/read/large"),)),
    "slow_readers_of_buffered_answers": Crowd(400, (crowd_request("/read/buffered"),)),
    "connections_up_to_the_descriptor_limit": Crowd(
        700, (b"",), max_open_files=MAX_OPEN_FILES, hold_s=2.0
    ),
    "connections_that_come_and_go": Crowd(
        200, (sized(60_000, 30_000),), arrivals=20, max_open_files=MAX_OPEN_FILES
    ),
}


@pytest.mark.parametrize("name", CROWDS)
def test_node_survives(name, tmp_path):
    """Guards against a node that uncontrolled clients end, or fill until it answers nobody."""
    crowd = CROWDS[name]
    outcome = run_crowd(tmp_path, crowd, MEMORY_LIMIT_MB)
    print(outcome)
    assert outcome.alive
    assert outcome.peak_mb < MEMORY_LIMIT_MB
    if crowd.max_open_files is not None:
        assert outcome.open_files < crowd.max_open_files
    assert outcome.answered_beside
    assert outcome.answered_after
