"""The simulator host: replies, warnings, invalid input, and the isolation of instances."""

from __future__ import annotations

import io
import os
import subprocess
import sys

import pytest

from loadbalancer.simulator.host import Host
from tests.simulator.wire_lines import SHARED_LIST, instance_start_line


def instance_start_batch(instance: int = 1) -> str:
    """Return a batch that starts one instance and sends its endpoint list."""
    endpoint_list = f"{SHARED_LIST}membership who={instance} generation=1 mode=0 list=3\n"
    return f"sync time=100.0 batch=1\n{instance_start_line(instance)}{endpoint_list}eob\n"


def run_host(text: str) -> tuple[int, str, str]:
    """Return the exit status, the replies and the error output for an input."""
    output, errors = io.StringIO(), io.StringIO()
    status = Host(errors).run(io.StringIO(text), output)
    return status, output.getvalue(), errors.getvalue()


def test_reply_is_written_for_each_batch() -> None:
    status, output, _ = run_host(
        instance_start_batch()
        + "\nsync time=105.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=read\neob\n"
    )
    assert status == 0
    lines = output.split("\n")
    assert lines[0] == "yield batch=1"
    assert any(line.startswith("send who=1 corr=9 upstream=u") for line in lines)
    assert lines[-2] == "yield batch=2"


def test_unknown_input_is_ignored_with_one_warning() -> None:
    text = instance_start_batch().replace("tick=5.0", "tick=5.0 moon.phase=3")
    text += "sync time=110.0 batch=2\nfrobnicate who=1\nfrobnicate who=1\neob\n"
    status, output, errors = run_host(text)
    assert status == 0
    assert output.endswith("yield batch=2\n")
    assert errors.count("frobnicate") == 1
    assert errors.count("moon.phase") == 1


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("knock who=1 corr=9 grade=read", "'remaining' is missing"),
        ("knock who=1 corr=x remaining=9 grade=read", "no whole number"),
        ("knock who=1 corr=9 remaining=soon grade=read", "no number"),
        ("knock who=1 corr=9 remaining=nan grade=read", "'nan', which is no number"),
        ("verdict who=1 corr=9 shot=0 upstream=u1 verdict=1 gauge=1,inf", "'1,inf', which is no row"),
        ("membership who=1 generation=2 mode=8 list=3", "'mode' holds '8'"),
        ("knock who=5 corr=9 remaining=9.0 grade=read", "instance '5' is unknown"),
        ("membership who=1 generation=2 mode=2 list=9", "ledger 9 was never sent"),
        (
            "ledger list=1 membersList=2\nm upstream=u1 readiness=1",
            "a ledger has fewer entries than 'membersList' says",
        ),
        ("knock who=1 corr", "not name=value"),
        (
            instance_start_line(2).strip().replace("classes.0.target=900.0", "classes.0.target=-1"),
            "latency_objective_ms is -1.0",
        ),
    ],
)
def test_invalid_line_is_reported_in_one_message(line: str, reason: str) -> None:
    status, _, errors = run_host(instance_start_batch() + f"sync time=110.0 batch=2\n{line}\neob\n")
    assert status == 1
    assert reason in errors
    assert "batch 2" in errors
    assert errors.count("\n") == 1


def test_input_that_ends_inside_batch_is_rejected() -> None:
    assert run_host(instance_start_batch())[0] == 0
    status, _, errors = run_host(instance_start_batch() + "sync time=110.0 batch=2\n")
    assert status == 1
    assert "inside a batch" in errors


def test_policy_error_affects_only_failing_instance() -> None:
    text = "sync time=90.0 batch=0\n" + instance_start_line(2) + "eob\n" + instance_start_batch(1)
    text += "sync time=110.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=nosuch\n"
    text += "knock who=2 corr=9 remaining=900.0 grade=read\neob\n"
    status, output, errors = run_host(text)
    assert status == 0
    assert "give_in who=1 bodyText=ValueError: request 9 is of unknown class 'nosuch'\n" in output
    assert "give_in who=2" not in output
    assert "Traceback" in errors


def test_unknown_outcome_prevents_non_idempotent_retry() -> None:
    not_idempotent = instance_start_batch().replace("retryable", "fragile")
    text = not_idempotent + "sync time=105.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=read\neob\n"
    text += "sync time=110.0 batch=3\nverdict who=1 corr=9 shot=0 upstream=u1 verdict=42 timeTaken=5.0\neob\n"
    status, output, errors = run_host(text)
    assert status == 0
    assert "abort who=1 corr=9" in output
    assert output.count("send ") == 1
    assert "'42'" in errors


def test_wire_settings_cause_no_warnings() -> None:
    settings = (
        "classes.0.aimStretch=2 goal.logLossPart=0.4 goal.fullAtNines=3 goal.punctual=0.2 goal.tailMiss=0.02 "
        "limits.connIdle=30000.0 limits.streamsPerConn=1 familyInfo.passesDeadline=true prices.waste=0.02 "
        "worthBy=work weights=nominal myNumber=0 contract.drainGrace=2000.0 contract.graceToAnswer=8.0"
    )
    status, _, errors = run_host(instance_start_batch().replace("tick=5.0", f"tick=5.0 {settings}"))
    assert status == 0
    assert errors == ""


def run_host_process(instances: list[int], hash_seed: str) -> str:
    """Return the replies of a process that hosts these instances."""
    text = "".join(
        ["sync time=100.0 batch=1\n", SHARED_LIST, *(instance_start_line(i, 11 + i) for i in instances)]
    )
    text += "".join(f"membership who={i} generation=1 mode=0 list=3\n" for i in instances) + "eob\n"
    for n in range(40):
        text += f"sync time={110.0 + 7 * n} batch={n + 2}\n"
        text += "".join(f"knock who={i} corr={n} remaining=900.0 grade=read\n" for i in instances) + "eob\n"
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        [sys.executable, "-m", "loadbalancer.simulator"],
        input=text,
        text=True,
        capture_output=True,
        env=env,
        check=True,
    )
    return completed.stdout


def test_actions_are_deterministic_per_instance() -> None:
    combined_output = run_host_process([1, 2], "1")
    assert combined_output == run_host_process([1, 2], "2")
    for instance in (1, 2):
        instance_lines = [line for line in combined_output.split("\n") if f"who={instance} " in line]
        single_instance_lines = [
            line for line in run_host_process([instance], "3").split("\n") if f"who={instance} " in line
        ]
        assert instance_lines == single_instance_lines
        assert instance_lines
