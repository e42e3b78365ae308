"""Wire forms of the list service, as 127d781 writes them: its configuration and file of hosts as read,
answers to each call, refusals, and the query of a view. It runs as a process. Its epoch is drawn and its
versions go on from the clock: @E stands for the epoch, @0, @1, ... for versions from the first answer on."""

import json
import re

import pytest
from service_process import DATA, REGISTRY, json_headers, running

from api_gateway.base.subsets import SubsetSpec

# Names of the code under test that are used: only here


def view_query(index, size, zone="", kinds=()):
    return SubsetSpec(index, size, zone, kinds).query()


CONFIG = '{"listen": "127.0.0.1:0", "hosts": "@HOSTS", "watchers": 2, "learn_ms": 0, "views": 1}'
LIST = "GET /v1/endpoints"
FORMS = json.loads((DATA / "registry_calls.json").read_text())  # calls and answers as text, in this order


def test_calls_and_answers(tmp_path):
    (tmp_path / "hosts.json").write_text(FORMS["hosts"])
    (tmp_path / "registry.json").write_text(CONFIG.replace("@HOSTS", str(tmp_path / "hosts.json")))
    with running(REGISTRY, tmp_path / "registry.json") as process:
        first = process.call(LIST)[2].decode()
        version = int(re.search(r'"version": (\d{13}),', first)[1])
        epoch = re.search(r'"epoch": "([0-9a-f]{16})"', first)[1]

        def filled(text):
            text = re.sub(r"@(\d)", lambda found: str(version + int(found[1])), text)
            return text.replace("@E", epoch).encode()

        assert first.encode() == filled(FORMS["whole"])
        for line, body, status, answer in (row.values() for row in FORMS["calls"]):
            expected = filled(answer)
            more = {"retry-after": "5"} if status == 503 else {}
            headers = json_headers(expected, **more)
            if line.startswith(LIST) and status == 200:
                headers["content-type"] = "application/json"
            seen = process.call(filled(line).decode(), body.encode() or None)
            assert seen == (status, headers, expected), line


def test_before_it_has_learned_the_list_is_refused(tmp_path):
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
