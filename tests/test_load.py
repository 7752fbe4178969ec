"""The load tool: what it counts as whole, wrong, not run and unknown."""

import asyncio
import json

from tanagerworks.load.chats import AnswerCheck
from tanagerworks.load.main import run_load
from tanagerworks.load.report import (
    Failure,
    OrderRecord,
    Report,
    Seen,
    compare_reports,
    merge_reports,
)
from tanagerworks.load.settings import ChatLoad, LoadSettings
from tools.fleet import Fleet, free_address
from tools.result_checks import PlannedStop, check_results


def _engine_counters(**changed):
    counters = {
        "overloaded_samples": 0,
        "cold_overruns": 0,
        "cold_overruns_unseen": 0,
        "new_work_out_s": [],
    }
    return {**counters, **changed}


def test_another_requests_text_is_a_wrong_answer():
    """Guards against a crossed or spliced answer that passes for a whole one."""
    for pieces in (
        [("a", "one "), ("a", "three ")],
        [("a", "one "), ("b", "two ")],
        [("a", "one ")],
    ):
        check = AnswerCheck("one two ")
        for answer_id, text in pieces:
            check.add(answer_id, text)
        assert check.end().seen is Seen.WRONG
    check = AnswerCheck("one two ")
    check.add("a", "one ")
    assert check.broken("truncated").seen is Seen.UNKNOWN
    check.add("a", "two ")
    assert check.end().seen is Seen.WHOLE


def test_load_against_a_failing_engine(tmp_path):
    """Guards against callers that miss broken and crossed answers or give up on a refused port."""
    engine = free_address()

    def settings(**fields):
        chat = ChatLoad(customer="c", key="k", model="wax", callers=4, pause_s=0.0, max_tokens=4)
        fields = {"nodes": (free_address(), engine), "seconds": 0.7, "chats": (chat,), **fields}
        return LoadSettings(health_period_s=0.0, retry_pause_s=0.01, ramp_s=0.0, **fields)

    with Fleet(tmp_path) as fleet:
        fleet.start_engine("m1", engine, tokens_per_s=500.0, first_token_s=0.001)
        fleet.wait_until_ready("m1", f"http://{engine}/v1/boot")
        faultless = asyncio.run(run_load(settings()))
        assert faultless.counts["requests"] == faultless.counts["whole_answers"] > 0
        assert faultless.failed_attempts["connection_refused"] > 0
        fleet.send_control(engine, "faults", {"crossed_share": 1.0})
        crossed = asyncio.run(run_load(settings()))
        assert crossed.counts["requests"] == crossed.counts["wrong_answers"] > 0
        fleet.send_control(engine, "faults", {"crossed_share": 0.0, "break_share": 1.0})
        broken = asyncio.run(run_load(settings()))
        assert broken.counts["requests"] == broken.counts["unknown_outcome"] > 0


def test_reports_merge_and_compare(tmp_path):
    """Guards against percentiles or counts that are lost between processes."""
    reports = []
    for seconds in (0.01, 0.1):
        report = Report()
        report.record_end("c", "chat", Seen.WHOLE)
        report.record_time("first_token", seconds)
        reports.append(json.loads(json.dumps(report.document())))
    merged = merge_reports(reports)
    assert merged.counts["requests"] == 2
    assert 9 < merged.percentile_ms("first_token", 50) < 11
    assert 99 < merged.percentile_ms("first_token", 100) < 101
    paths = (tmp_path / "a.json", tmp_path / "b.json")
    for path, document in zip(paths, reports, strict=True):
        path.write_text(json.dumps(document))
    rows = {line.split("  ")[0]: line.split() for line in compare_reports(paths).splitlines()[1:]}
    assert float(rows["first_token p50_ms"][-1]) > 80


def test_verdict_sees_each_violation():
    """Guards against a demo that reports zeros because it does not look."""
    report = Report()
    report.orders["o1"] = OrderRecord(True, Seen.WHOLE.value, 1)
    report.orders["o2"] = OrderRecord(True, Seen.NOT_RUN.value, 1)
    report.failures.append(Failure(1.0, 2.0, "n1:80", "chat", Seen.UNKNOWN.value, "truncated"))
    report.counts["wrong_answers"] = 1
    engines = {"m1": _engine_counters(overloaded_samples=1, new_work_out_s=[1.0, 6.0])}
    services = {"s1": {"executions": {"o1": 2, "o2": 1}, "new_work_out_s": []}}
    stop = PlannedStop("n1", ("n1:80",), 1.5, 3.0, (0,))
    verdict = check_results(report, engines, services, [stop])
    assert len(verdict.violations()) == 5
    assert verdict.other_figures["false_not_run"] == 1
