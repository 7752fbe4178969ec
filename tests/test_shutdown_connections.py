"""What callers see of their connections when a node stops, down to the bytes in its buffers."""

import asyncio

from tests.platform_standin import request_bytes, respond_with, run_scenario, send_request


def test_request_that_is_read_after_the_last_moment_is_refused():
    """Guards against a request that reaches a server although the process is about to exit."""

    async def scenario(port, pipeline, servers):
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 60.0, now_s)
        pipeline.expire_requests()
        response = await send_request(port, request_bytes("/desk-read/x"))
        return response.status, len(servers[0].requests)

    assert run_scenario([[respond_with()]], scenario) == (503, 0)
