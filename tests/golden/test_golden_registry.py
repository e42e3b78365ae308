"""Wire formats of the list service, as written by commit 127d781.

Covered are the configuration and hosts file that it reads, the response to each call, refusals, and the query
for a view. The service runs as a process. Its epoch is random and its versions continue from the clock: @E
stands for the epoch, and @0, @1, ... for versions counted from the first response.
"""

import json
import re

import pytest
from service_process import DATA, REGISTRY, json_headers, running

from api_gateway.base.subsets import SubsetSpec

# The only names of the code under test that are used


def view_query(index, size, zone="", kinds=()):
    return SubsetSpec(index, size, zone, kinds).query()


CONFIG = '{"listen": "127.0.0.1:0", "hosts": "@HOSTS", "watchers": 2, "learn_ms": 0, "views": 1}'
LIST = "GET /v1/endpoints"
# Requests and responses as text, in the order in which they are sent.
RECORDED_CALLS = json.loads((DATA / "registry_calls.json").read_text())


def test_calls_and_answers(tmp_path):
    (tmp_path / "hosts.json").write_text(RECORDED_CALLS["hosts"])
    (tmp_path / "registry.json").write_text(CONFIG.replace("@HOSTS", str(tmp_path / "hosts.json")))
    with running(REGISTRY, tmp_path / "registry.json") as process:
        first = process.call(LIST)[2].decode()
        version = int(re.search(r'"version": (\d{13}),', first)[1])
        epoch = re.search(r'"epoch": "([0-9a-f]{16})"', first)[1]

        def fill_in(text):
            text = re.sub(r"@(\d)", lambda match: str(version + int(match[1])), text)
            return text.replace("@E", epoch).encode()

        assert first.encode() == fill_in(RECORDED_CALLS["whole"])
        for line, body, status, template in (row.values() for row in RECORDED_CALLS["calls"]):
            expected = fill_in(template)
            extra_headers = {"retry-after": "5"} if status == 503 else {}
            headers = json_headers(expected, **extra_headers)
            if line.startswith(LIST) and status == 200:
                headers["content-type"] = "application/json"
            response = process.call(fill_in(line).decode(), body.encode() or None)
            assert response == (status, headers, expected), line


def test_the_list_is_refused_while_the_service_is_learning(tmp_path):
    (tmp_path / "registry.json").write_text('{"listen": "127.0.0.1:0", "learn_ms": 60000}')
    with running(REGISTRY, tmp_path / "registry.json") as process:
        body = b'{"error": "hosts are still coming back after the start"}'
        assert process.call(LIST) == (503, json_headers(body, **{"retry-after": "5"}), body)


@pytest.mark.parametrize(
    "view, query",
    [
        ((3, 20), "view=3%2C20%2C"),
        ((3, 20, "a", ("m2", "k,1")), "view=3%2C20%2Ca&kinds=k%252C1%2Cm2"),
    ],
)
def test_the_query_of_a_view(view, query):
    assert view_query(*view) == query
