"""Builds what deploy/balancer.toml says, starts it, and checks its replies to a batch and a health check."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
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


def read_deploy_file() -> dict[str, Any]:
    """The deploy file; every file that it names must exist."""
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    missing = [name for name in deploy["policy"] + deploy["node"] if not Path(name).exists()]
    assert not missing, f"the deploy file names files that are not there: {missing}"
    return deploy


def build(command: str) -> None:
    """Run the build command as the platform does."""
    subprocess.run(["/bin/sh", "-c", command], check=True)


def check_simulator(command: str) -> None:
    """Send an empty batch on the simulator's wire; it must be answered by an empty reply."""
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        input="sync time=1.0 batch=1\neob\n",
        text=True,
        capture_output=True,
        check=True,
        timeout=SIMULATOR_TIMEOUT_S,
    )
    assert done.stdout == "yield batch=1\n", f"an empty batch was answered by {done.stdout!r}"


def check_balancer(command: str) -> None:
    """Start a balancer, wait until its health check succeeds, and end it by SIGTERM."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(configuration(port)), encoding="utf-8")
        balancer = subprocess.Popen(["/bin/sh", "-c", command], env=os.environ | {"LB_CONFIG": str(path)})
        try:
            wait_until_ready(balancer, port)
            balancer.send_signal(signal.SIGTERM)
            status = balancer.wait(timeout=SHUTDOWN_TIMEOUT_S)
            assert status == 0, f"after SIGTERM run ended with {status}"
        finally:
            balancer.kill()


def configuration(port: int) -> dict[str, Any]:
    """A configuration with one class, no endpoints, and a discovery address at which nobody listens."""
    request_class = {"name": "read", "target": 100.0, "deadline": 500.0, "effect": "retryable"}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "settings": {"classes": [request_class], "discovery": "ask"},
    }


def wait_until_ready(balancer: subprocess.Popen[bytes], port: int) -> None:
    """Wait until the health check succeeds."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while (status := health_status(port)) != http.HTTPStatus.OK:
        assert balancer.poll() is None, f"run ended with {balancer.returncode}"
        assert time.monotonic() < deadline, f"/healthz responds {status}"
        time.sleep(POLL_INTERVAL_S)


def health_status(port: int) -> int:
    """The status of the balancer's response to a health check; 0 while nothing listens."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=HEALTH_CHECK_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def free_port() -> int:
    """A port on which nothing listens at this moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def main() -> None:
    """Check everything that the deploy file names."""
    deploy = read_deploy_file()
    build(deploy["build"])
    check_simulator(deploy["sim"])
    check_balancer(deploy["run"])
    print("the deploy file builds, and what it starts answers")


if __name__ == "__main__":
    main()
