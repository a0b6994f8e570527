"""Runs the commands of deploy/balancer.toml, and checks that the simulator host and the balancer respond.

A failed check raises `DeployFileError`, or the error of the command that failed.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

DEPLOY_FILE = Path("deploy/balancer.toml")
SIMULATOR_TIMEOUT_S = 60.0
READY_TIMEOUT_S = 60.0
SHUTDOWN_TIMEOUT_S = 30.0
HEALTH_CHECK_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05


class DeployFileError(Exception):
    """A file that the deploy file names is missing, or one of its commands does not work as expected."""


def read_deploy_file() -> dict[str, Any]:
    """Return the content of the deploy file, and check that every file that it names exists."""
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    missing = [name for name in deploy["policy"] + deploy["node"] if not Path(name).exists()]
    if missing:
        message = f"the deploy file names files that do not exist: {missing}"
        raise DeployFileError(message)
    return deploy


def build(command: str) -> None:
    """Run the build command as the platform does."""
    subprocess.run(["/bin/sh", "-c", command], check=True)


def check_simulator(command: str) -> None:
    """Check that the simulator host replies to an empty batch with no actions."""
    completed = subprocess.run(
        ["/bin/sh", "-c", command],
        input="sync time=1.0 batch=1\neob\n",
        text=True,
        capture_output=True,
        check=True,
        timeout=SIMULATOR_TIMEOUT_S,
    )
    if completed.stdout != "yield batch=1\n":
        message = f"the simulator host replied {completed.stdout!r} to an empty batch"
        raise DeployFileError(message)


def check_balancer(command: str) -> None:
    """Check that a balancer becomes ready, and that SIGTERM ends it with status 0."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(configuration(port)), encoding="utf-8")
        balancer = subprocess.Popen(["/bin/sh", "-c", command], env=os.environ | {"LB_CONFIG": str(path)})
        try:
            wait_until_ready(balancer, port)
            balancer.send_signal(signal.SIGTERM)
            status = balancer.wait(timeout=SHUTDOWN_TIMEOUT_S)
            if status != 0:
                message = f"the balancer ended with status {status} after SIGTERM"
                raise DeployFileError(message)
        finally:
            balancer.kill()


def configuration(port: int) -> dict[str, Any]:
    """Return a configuration with one class, no endpoints and an unreachable discovery."""
    request_class = {"name": "read", "target": 100.0, "deadline": 500.0, "effect": "retryable"}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "settings": {"classes": [request_class], "discovery": "ask"},
    }


def wait_until_ready(balancer: subprocess.Popen[bytes], port: int) -> None:
    """Wait until the health check of the balancer succeeds."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while (status := health_status(port)) != http.HTTPStatus.OK:
        if balancer.poll() is not None:
            message = f"the balancer ended with status {balancer.returncode} before it was ready"
            raise DeployFileError(message)
        if time.monotonic() > deadline:
            message = f"/healthz still responds {status} after {READY_TIMEOUT_S:.0f} s"
            raise DeployFileError(message)
        time.sleep(POLL_INTERVAL_S)


def health_status(port: int) -> int:
    """Return the status of the response to a health check, or 0 while nothing listens."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=HEALTH_CHECK_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def free_port() -> int:
    """Return a port on which nothing listens now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def main() -> None:
    """Check everything that the deploy file names."""
    deploy = read_deploy_file()
    build(deploy["build"])
    check_simulator(deploy["sim"])
    check_balancer(deploy["run"])
    sys.stdout.write("deploy file: built, started and checked\n")


if __name__ == "__main__":
    main()
