import io
import re

from api_gateway.simulator_adapter import Adapter

SETTINGS_FIELDS = (
    "group_size=1 index=0 limits.cancel=true limits.second_copies=true limits.max_attempts=3 locality=a "
    "plans.count=1 plans.0.name=p plans.0.rate=5 plans.0.most_at_once=10 prices.cross_zone=0.1 "
    "registry_mode=pushed reporting.names=active rules.answer_slack=8000000 rules.cold=1000000000 "
    "rules.drain_grace=1000000000 rules.fall_multiple=2 rules.start_capacity=0.2 rules.tip_after=1000000000 "
    "services.count=1 services.0.name=c services.0.slo=100000000 services.0.deadline=500000000 "
    "services.0.effect=pure services.0.gain=1 specifics.shared_counter=true "
    "specifics.counter_timeout=30000000 unheard.of=1"
)
SETUP_BATCH = [
    "ROUND at_time=1000000000",
    f"PROVISION i=3 nonce64=7 {SETTINGS_FIELDS}",
    "TARGETS i=3 mode=cached index=1 rows_in=1",
    "HOST host=h1 flavor=k unit_group=0 heft=1 zone=a availability=U odd=1",
    "GO",
]
REQUEST_BATCH = [
    "ROUND at_time=1002000000",
    "WORK_ITEM i=3 txn=t/1 patience_left=500000000 n_entries=1 cost_units=1 customer=c/1 "
    "type=c tier=p first=0",
    "GO",
]


def run_adapter(lines):
    output = io.StringIO()
    exit_status = Adapter(io.StringIO("\n".join(lines) + "\n"), output).run()
    return exit_status, output.getvalue()


def test_batches_are_acknowledged_and_requests_assigned():
    exit_status, replies = run_adapter(
        ["ROUND at_time=5", "GO", ""]
        + SETUP_BATCH
        + REQUEST_BATCH
        + [
            "ROUND at_time=1010000000",
            "REPORT_BACK i=3 txn=t/1 attempt=0 host=h1 reason=GOOD time_taken=8000000 terminal=1 "
            "server_stats=active:2,odd:1",
            "DETACH i=3",
            "GO",
        ]
    )
    assert exit_status == 0 and replies.count("ACK\n") == 4
    assert "ASSIGN i=3 txn=t/1 timeout=0 host=h1\n" in replies
    assert re.search(r"AFTER i=3 sleep_for=\d+ label=0\n", replies)


def test_invalid_lines_are_reported(capsys):
    for invalid_line, expected_text in (
        ("NONSENSE i=3", "unknown event"),
        ("DUE i=3", "label"),
        ("DUE i=9 label=1", "not been set up"),
        ("DUE i=3 label", "not name=value"),
        ("DUE i=3 label=x", "invalid"),
    ):
        exit_status, replies = run_adapter(SETUP_BATCH + ["ROUND at_time=1002000000", invalid_line, "GO"])
        assert exit_status == 1
        error_output = capsys.readouterr().err
        assert "line 7" in error_output and expected_text in error_output and invalid_line in error_output
        if "i=3" in invalid_line and "=value" not in expected_text:
            assert "INTERNAL_ERROR i=3 words=line 7" in replies


def test_missing_setting_is_reported(capsys):
    lines = [line.replace(" limits.max_attempts=3", "") for line in SETUP_BATCH]
    exit_status, _ = run_adapter(lines)
    assert exit_status == 1 and "max_attempts" in capsys.readouterr().err


def test_exception_is_reported_as_internal_error():
    request_batch = [line.replace("type=c", "type=unheard") for line in REQUEST_BATCH]
    exit_status, replies = run_adapter(SETUP_BATCH + request_batch)
    assert "INTERNAL_ERROR i=3 words=KeyError: 'unheard'" in replies and exit_status == 0
