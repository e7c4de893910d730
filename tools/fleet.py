"""Starts a small fleet on loopback for the demonstration and the benchmarks:
the platform stand-in, backend server stand-ins, and entry hosts. Every process
is ended by its own id."""
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BW_BIN", ROOT / "build" / "bin"))
PEER_KEY = "demonstration-peer-key"
WAIT_SECONDS = 30


# Below the range from which the system takes ports of outgoing connections, so
# that none of these takes a daemon's port before it listens.
PORTS = iter(range(20_000 + os.getpid() % 4_000, 32_000))


def free_port():
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise SystemExit("no free port")


def wait_for(what, condition, seconds=WAIT_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise SystemExit(f"gave up waiting for {what}")


def request(method, url, body=None, headers=None, timeout=20):
    """Returns (status, headers, body); status 0 when the transfer broke."""
    call = urllib.request.Request(url, data=body, method=method,
                                  headers=headers or {})
    try:
        with urllib.request.urlopen(call, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except (OSError, ValueError):
        return 0, {}, b""


class Fleet:
    def __init__(self, hosts=2, data_centres=("bkk-a",)):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bramleywinch-"))
        self.processes = []
        self.logs = {}
        self.backends = []
        self.host_count = hosts
        self.data_centres = data_centres
        self.hosts = []
        self.operator_file = self.folder / "operator"

    def start(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([str(part) for part in arguments],
                                   stdout=subprocess.PIPE, stderr=log)
        self.processes.append(process)
        self.logs[name] = self.folder / f"{name}.log"
        return process

    def start_platform(self):
        process = self.start("platform", BIN / "bw-platform-stand-in")
        port = int(process.stdout.readline().split()[1])
        self.platform = f"http://127.0.0.1:{port}"

    def start_backends(self, service, count, slots, microseconds=5000):
        process = self.start(f"backend-{service}", BIN / "bw-backend-stand-in",
                             "--name", service, "--count", count, "--slots",
                             slots, "--service-time-us", microseconds)
        for index in range(1, count + 1):
            port = int(process.stdout.readline().split()[1])
            self.backends.append({
                "name": f"{service}-{index}", "role": "backend_server",
                "service": service, "address": "127.0.0.1", "port": port,
                "slots": slots, "state": "live",
                "data_centre":
                    self.data_centres[index % len(self.data_centres)]})

    def publish_hosts(self):
        entries = list(self.backends)
        for host in self.hosts:
            entries.append({"name": host["name"], "role": "host",
                            "service": "", "address": "127.0.0.1",
                            "port": host["peer"], "slots": 0, "state": "live",
                            "data_centre": host["data_centre"]})
        request("PUT", self.platform + "/control/hosts",
                json.dumps({"hosts": entries}).encode())

    def make_credential(self, name):
        text = subprocess.run([BIN / "bwctl", "credential", "new", name],
                              capture_output=True, text=True,
                              check=True).stdout
        return {"bearer": re.search(r"once: (\S+)", text).group(1),
                "salt": re.search(r"salt: (\S+)", text).group(1),
                "hash": re.search(r"secret_sha256: (\S+)", text).group(1)}

    def start_hosts(self):
        operator = self.make_credential("operator")
        self.operator_file.write_text(operator["bearer"] + "\n")
        self.operator_file.chmod(0o600)
        for index in range(self.host_count):
            self.hosts.append({
                "name": f"entry-{index + 1:02}", "http": free_port(),
                "peer": free_port(),
                "data_centre":
                    self.data_centres[index % len(self.data_centres)]})
        for host in self.hosts:
            seeds = "".join(
                f"  - {{ host: {other['name']}, data_centre: "
                f"{other['data_centre']}, address: 127.0.0.1, port: "
                f"{other['peer']} }}\n"
                for other in self.hosts if other is not host)
            settings = self.folder / f"{host['name']}.yaml"
            settings.write_text(
                f"host: {host['name']}\n"
                f"data_centre: {host['data_centre']}\n"
                f"listen: {{ address: 127.0.0.1, port: {host['http']} }}\n"
                f"peer: {{ address: 127.0.0.1, port: {host['peer']} }}\n"
                f"peer_key: {PEER_KEY}\n"
                f"platform_url: {self.platform}\n"
                "operators:\n"
                f"  - {{ name: operator, salt: {operator['salt']}, "
                f"secret_sha256: {operator['hash']} }}\n"
                + (f"hosts:\n{seeds}" if seeds else ""))
            host["settings"] = settings
            self.start_host(host)
        self.publish_hosts()
        self.wait_ready()

    def start_host(self, host):
        host["process"] = self.start(host["name"], BIN / "bramleywinchd",
                                     "--settings", host["settings"])

    def wait_ready(self):
        for host in self.hosts:
            wait_for(f"{host['name']} to be ready", lambda: request(
                "GET", self.url(host, "/bw/v1/ready"))[0] == 200)

    def url(self, host, path):
        return f"http://127.0.0.1:{host['http']}{path}"

    def bwctl(self, *arguments, host=0):
        command = [str(BIN / "bwctl"), "--endpoint",
                   self.url(self.hosts[host], ""), "--credential-file",
                   str(self.operator_file)]
        return subprocess.run(command + [str(part) for part in arguments],
                              capture_output=True, text=True)

    def backend(self, name):
        entry = next(e for e in self.backends if e["name"] == name)
        return f"http://127.0.0.1:{entry['port']}"

    def ledger(self, service):
        entries = []
        for backend in self.backends:
            if backend["service"] == service:
                _, _, body = request(
                    "GET", f"http://127.0.0.1:{backend['port']}"
                    "/control/ledger")
                entries += [dict(entry, server=backend["name"])
                            for entry in json.loads(body)["entries"]]
        return entries

    def stop(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
