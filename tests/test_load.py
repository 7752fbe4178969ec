"""Outcomes that the load generator reports, and the checks of a run that use them."""

import asyncio
import json

from tanagerworks.load.chats import AnswerChecker
from tanagerworks.load.main import run_load
from tanagerworks.load.report import (
    Failure,
    ObservedOutcome,
    OrderRecord,
    Report,
    compare_reports,
    merge_reports,
)
from tanagerworks.load.settings import ChatLoad, LoadSettings
from tools.fleet import Fleet, free_address
from tools.result_checks import PlannedStop, check_results


def _build_engine_counters(**changed):
    counters = {
        "overloaded_samples": 0,
        "cold_overruns": 0,
        "cold_overruns_unseen": 0,
        "new_work_out_s": [],
    }
    return {**counters, **changed}


def test_answer_of_another_request_is_wrong():
    """Guards against counting an answer as correct that a router mixed up.

    The text or the id of another request, or an answer that ends early, must count as wrong.
    """
    for pieces in (
        [("a", "one "), ("a", "three ")],
        [("a", "one "), ("b", "two ")],
        [("a", "one ")],
    ):
        checker = AnswerChecker("one two ")
        for answer_id, text in pieces:
            checker.add_piece(answer_id, text)
        assert checker.check_complete_answer().outcome is ObservedOutcome.WRONG
    checker = AnswerChecker("one two ")
    checker.add_piece("a", "one ")
    assert checker.check_incomplete_answer("truncated").outcome is ObservedOutcome.UNKNOWN
    checker.add_piece("a", "two ")
    assert checker.check_complete_answer().outcome is ObservedOutcome.WHOLE


def test_load_against_a_failing_engine(tmp_path):
    """Guards against callers that overlook faults of an engine.

    Broken and crossed answers must be counted, and a refused connection must be retried at
    another node.
    """
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
    """Guards against losing counts or percentiles when reports of processes are merged."""
    reports = []
    for seconds in (0.01, 0.1):
        report = Report()
        report.record_outcome("c", "chat", ObservedOutcome.WHOLE)
        report.record_duration("first_token", seconds)
        reports.append(json.loads(json.dumps(report.as_document())))
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
    """Guards against a check that reports 0 violations because it does not detect them.

    The run contains one violation of each kind.
    """
    report = Report()
    report.orders["o1"] = OrderRecord(True, ObservedOutcome.WHOLE.value, 1)
    report.orders["o2"] = OrderRecord(True, ObservedOutcome.NOT_RUN.value, 1)
    report.failures.append(
        Failure(1.0, 2.0, "n1:80", "chat", ObservedOutcome.UNKNOWN.value, "truncated")
    )
    report.counts["wrong_answers"] = 1
    engines = {"m1": _build_engine_counters(overloaded_samples=1, new_work_out_s=[1.0, 6.0])}
    services = {"s1": {"executions": {"o1": 2, "o2": 1}, "new_work_out_s": []}}
    stop = PlannedStop("n1", ("n1:80",), 1.5, 3.0, (0,))
    verdict = check_results(report, engines, services, [stop])
    assert len(verdict.violations()) == 5
    assert verdict.other_figures["false_not_run"] == 1
