"""Stand-ins for the users' platform: store, workers, clients, and a proxy whose connections can go silent.

Everything runs in one asyncio loop on loopback addresses. The entry VMs are the project's own processes, started with
the command of deploy/system.toml. Only Python's standard library is used.

KEEP_LOGS=1 prints the logs of the VMs at the end, VM_ARGS="--log-level debug --log-lines 100000" makes them longer.
"""

import asyncio
import base64
import json
import os
import random
import signal
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "gypsumkeel")
HOST = "desk.example"
# The bounds of the sheet of brisa-farol.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 6, "lostSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "recoveryS": 12, "holdMaxMs": 1000, "stopMs": 50, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 2, "saveS": 0.5, "restoreMs": 250,
    "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "enforceFencing": True, "leaseMs": 3000,
    "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300,
}
HEARTBEAT_S = 1.5
# How long a stop takes; the pages allow stopMs, 50 ms.
STOP_S = 0.03
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


class Record:
    """The record of what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message: its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server. `handle(method, path, query, headers, body)` returns a status and a JSON value."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None
        self.accepts = asyncio.Event()
        self.accepts.set()

    def pause(self):
        """Resets all open connections, and serves none until `resume`."""
        self.accepts.clear()
        self.reset()

    def resume(self):
        self.accepts.set()

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        await self.accepts.wait()
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
                status, value = await self.handle(method, unquote(parts.path), query, headers, body)
                if status is None:
                    await asyncio.sleep(3600)
                text = json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def reset(self):
        """Resets all open connections, as the end of the process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset()


class Store:
    """The platform's store: items, revisions, leases and watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.log = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def write(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        created = known["createdRev"] if known else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "createdRev": created, "lease": lease}
        self.items[key] = item
        self.append(item)

    def put(self, key, value):
        """A write by the operator or a worker. Returning is the acknowledgement."""
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.append({"key": key, "rev": self.revision, "removed": True})

    def append(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def keep_time(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        self.expire()
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-range":
            after = query.get("after", "")
            found = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > after]
            return 200, {"items": found[:500], "truncated": len(found) > 500, "asOf": self.revision}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, asOf=self.revision)) if item else (404, {})
        value = json.loads(body) if body else {}
        if path == "/api/kv-lease":
            lease, ttl = self.next_lease, value["ttlMs"]
            self.next_lease += 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if path.startswith("/api/kv-lease-end/"):
            self.end(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/api/kv-txn":
            return self.commit(value)
        return 404, {}

    def commit(self, value):
        expected = value.get("expect", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((current[row["key"]] or {"rev": 0})["rev"] != row["rev"] for row in expected):
            return 412, {"items": [item for item in current.values() if item]}
        puts, removed = value.get("puts", []), value.get("remove", [])
        keys = [put["key"] for put in puts] + removed
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.write(put["key"], put["value"], put.get("lease") or 0)
        for key in removed:
            self.remove(key)
        return 200, {"rev": self.revision}

    async def watch(self, query):
        prefix, after, wait = query["prefix"], int(query["after"]), int(query["waitMs"])
        deadline = time.monotonic() + wait / 1000
        while True:
            changed = self.changed
            events = []
            for event in reversed(self.log):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "asOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Ledger:
    """All runs on all workers, as the workers see them."""

    def __init__(self, record):
        self.record = record
        self.running = {}
        self.overlaps = []
        self.starts = []

    def start(self, worker, task, run):
        others = self.running.setdefault(task, [])
        self.starts.append((self.record.now(), worker, task, run))
        self.record.add("run-begin", task, f"run={run}", f"worker={worker}")
        if others:
            self.overlaps.append((task, run, worker, list(others)))
            self.record.add("OVERLAP", task, f"run={run} on {worker} beside", others)
        others.append((run, worker))

    def end(self, worker, task, run, how):
        self.running[task].remove((run, worker))
        self.record.add("run-end", task, f"run={run}", f"worker={worker}", how)


class Worker:
    """A worker. The spec of a task is its duration in milliseconds; a step's cpu is not checked (no guard)."""

    def __init__(self, name, zone, store, ledger, room=16000, service="desk"):
        self.id, self.zone, self.store, self.ledger = name, zone, store, ledger
        self.room, self.service = room, service
        self.state = "ready"
        self.seq = 0
        self.server = Server(self.handle)
        self.is_up = False
        self.begin_life()

    def begin_life(self):
        """A new life holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = self.lease = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.refused = {}
        self.changed = asyncio.Event()
        self.last_hold = self.last_start = self.started

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def report(self):
        host, port = self.server.address
        return {"service": self.service, "addr": f"{host}:{port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
                "room": {"cpu": self.room, "memMb": 32768, "gpu": 0}, "labels": ["a", f"r-{self.zone}"]}

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.id}", self.report())

    async def start(self):
        await self.server.start()
        self.is_up = True
        self.register()
        asyncio.ensure_future(self.heartbeat())
        asyncio.ensure_future(self.keep_time())

    async def heartbeat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self.register()

    async def keep_time(self):
        while True:
            if self.is_up:
                self.advance()
            await asyncio.sleep(0.002)

    def advance(self):
        clock = self.clock()
        for (task, run), (begun, duration) in list(self.running.items()):
            if begun + duration <= clock and begun + duration <= self.lease:
                self.end(task, run, "done")
            elif self.lease <= clock:
                self.end(task, run, "lapsed")

    def end(self, task, run, how):
        del self.running[task, run]
        self.refused[task] = max(run, self.refused.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.ledger.end(self.id, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def finish_stop(self, task, run, born):
        if born == self.born and (task, run) in self.running:
            self.end(task, run, "stopped")

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + BOUNDS["holdMaxMs"]))

    def answer(self, status, **more):
        return status, dict(more, clockMs=self.clock())

    async def handle(self, method, path, query, headers, body):
        value = json.loads(body) if body else {}
        if headers.get("expect-instance", self.id) != self.id:
            return self.answer(421)
        fence = value.get("fence", 0)
        self.advance()
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if path == "/api/run-start":
            return self.start_run(value)
        if path == "/api/run-stop":
            task, run = value["task"], value["run"]
            if (task, run) in self.running:
                asyncio.get_running_loop().call_later(STOP_S, self.finish_stop, task, run, self.born)
            self.refused[task] = max(run, self.refused.get(task, 0))
            return self.answer(200)
        if path == "/api/hold":
            return await self.hold(value)
        return 404, {}

    def start_run(self, value):
        task, run, until = value["task"], value["run"], value["untilMs"]
        if (task, run) in self.running:
            return self.answer(200)
        if run <= self.refused.get(task, 0):
            self.extend(until)
            return self.answer(409, reason="old")
        if until <= self.clock():
            return self.answer(409, reason="late")
        self.extend(until)
        self.running[task, run] = (self.clock(), int(value["spec"]))
        self.ledger.start(self.id, task, run)
        self.last_start = time.monotonic()
        return self.answer(200)

    async def hold(self, value):
        self.last_hold = time.monotonic()
        if value.get("untilMs"):
            self.extend(value["untilMs"])
        self.ended = [row for row in self.ended if row[0] > value.get("seenUpto", 0)]
        deadline = time.monotonic() + value.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        clock = self.clock()
        running = [[task, run, "", min(99, (clock - begun) * 100 // max(1, duration)), 1000]
                   for (task, run), (begun, duration) in self.running.items()]
        return self.answer(200, born=self.born, running=running, ended=self.ended[:500])

    async def crash(self, down_s, keeps_socket=False):
        """The process ends, with all that runs on it, and starts again under its id after `down_s`.

        With `keeps_socket`, its service manager holds the listening socket: connections made meanwhile wait in it.
        """
        host, port = self.server.address
        self.is_up = False
        for task, run in list(self.running):
            del self.running[task, run]
            self.ledger.end(self.id, task, run, "crashed")
        self.ledger.record.add("worker-down", self.id)
        if keeps_socket:
            self.server.pause()
            await asyncio.sleep(down_s)
            self.begin_life()
            self.server.resume()
        else:
            await self.server.stop()
            await asyncio.sleep(down_s)
            self.begin_life()
            await self.server.start(host, port)
        self.is_up = True
        self.ledger.record.add("worker-up", self.id, f"born={self.born}")
        self.register()


class Proxy:
    """Passes connections on. Open ones can go silent for good while new ones work."""

    def __init__(self, target):
        self.target = target
        self.open = []
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]

    def silence_open(self):
        for connection in self.open:
            connection["silent"] = True
        return len(self.open)

    async def serve(self, reader, writer):
        connection = {"silent": False}
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open.append(connection)
        await asyncio.gather(self.pass_on(reader, up_writer, connection), self.pass_on(up_reader, writer, connection))
        self.open.remove(connection)

    async def pass_on(self, reader, writer, connection):
        try:
            while data := await reader.read(1 << 16):
                if not connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not connection["silent"]:
            writer.close()


class Vm:
    """An entry VM: a process of the project."""

    def __init__(self, index, zone, store_address, net, directory, seeds):
        self.name, self.ip = f"edge-{zone}-{index}", f"127.{net[0]}.{net[1]}.{index + 1}"
        self.settings = os.path.join(directory, f"{self.name}.json")
        self.output = os.path.join(directory, f"{self.name}.log")
        self.process = None
        at = lambda port: f"{self.ip}:{port}"
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({
                "node": self.name, "role": "edge", "class": "edge", "serves": ["edge", "control"], "ip": self.ip,
                "zone": zone, "region": "south", "zones": {"a": "south", "b": "south", "c": "south"},
                "listen": {"front": at(8161), "ready": at(8167), "control": at(8166)},
                "portRange": [7720, 7735], "seeds": seeds, "bootstrap": True, "tolerateLoss": False,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                           "diskMb": 0},
                "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "call",
                "platform": {"addr": "%s:%d" % tuple(store_address), "form": "kv", "writesPerS": 400,
                             "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            }, file)

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GYPSUMKEEL_SETTINGS"] = self.settings
        with open(self.output, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "platform", *os.environ.get("VM_ARGS", "").split(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=output,
                stderr=output)

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def ready(self):
        status, _ = await request(self.ip, 8167, "GET", "/api/readyz", timeout=1)
        return status == 200

    async def status(self):
        status, value = await request(self.ip, 9100, "GET", "/v1/status", timeout=2)
        return value if status == 200 else None


async def request(ip, port, method, path, value=None, headers=None, timeout=5.0):
    """One request on a connection of its own. The status is None without an answer; the reason stands in its place."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            body = json.dumps(value).encode() if value is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
            if body:
                lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
            writer.write("\r\n".join(lines).encode("utf-8") + b"\r\n\r\n" + body)
            first, _, answer = await read_message(reader)
            try:
                decoded = json.loads(answer) if answer else {}
            except ValueError:
                decoded = {}
            return int(first.split(" ")[1]), decoded
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"connection broken: {type(error).__name__}"
    finally:
        if writer:
            writer.close()


def config(version, routes):
    """A configuration with a route for each name, under /NAME/."""
    return {
        "version": version,
        "routes": [{"name": name, "host": HOST, "prefix": f"/{name}/", "kind": "unsafe", "timeoutMs": 5000,
                    "sloMs": 500, "priority": 0, "service": "desk", "attempts": 3, "stretch": 2.0}
                   for name in routes],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                      "rejectsOverload": False, "spare": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def job(*steps, estimate=None):
    """A job of which nothing need be kept. Each step is (tasks, cpu, milliseconds); a step waits for the one before."""
    return {"spec": str(steps[0][2]), "bestEffort": True,
            "steps": [dict({"count": count, "cpu": cpu, "memMb": 64, "estMs": estimate or ms},
                           **({"after": [index - 1]} if index else {}))
                      for index, (count, cpu, ms) in enumerate(steps)]}


class Site:
    """A small deployment: a store, workers and entry VMs in zones, and clients."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.ledger = Ledger(record)
        self.workers, self.vms, self.proxies = [], [], []
        self.directory = tempfile.TemporaryDirectory(prefix="gypsumkeel-review-")
        self.net = (random.randint(2, 250), random.randint(1, 250))

    async def start(self, zones, vms, workers, routes=("desk",)):
        if not os.access(PROGRAM, os.X_OK):
            raise FileNotFoundError(f"{PROGRAM} is missing; run the build of deploy/system.toml")
        await self.store.server.start()
        asyncio.ensure_future(self.store.keep_time())
        self.store.put("op/config", config(1, routes))
        for zone in zones:
            for index in range(workers):
                worker = Worker(f"w-{zone}-{index}", zone, self.store, self.ledger)
                await worker.start()
                self.workers.append(worker)
        count = len(zones) * vms
        seeds = [f"127.{self.net[0]}.{self.net[1]}.{index + 1}:8166" for index in range(min(3, count))]
        for index in range(count):
            proxy = Proxy(self.store.server.address)
            await proxy.start()
            vm = Vm(index, zones[index % len(zones)], proxy.address, self.net, self.directory.name, seeds)
            self.proxies.append(proxy)
            self.vms.append(vm)
        for vm in self.vms:
            await vm.start()
        await self.wait_until("all VMs are ready and all workers are owned", self.is_settled, 15)
        # Two VMs that start at once may both have taken a worker; the next polls settle which one holds it.
        await asyncio.sleep(1.5)
        self.record.add("site-up", f"vms={len(self.vms)}", f"workers={len(self.workers)}")

    async def is_settled(self):
        for vm in self.vms:
            if vm.process.returncode is not None or not await vm.ready():
                return False
            status = await vm.status()
            if not status or sum(1 for target in status["targets"] if target["owner"]) < len(self.workers):
                return False
        return True

    async def wait_until(self, what, condition, limit):
        deadline = time.monotonic() + limit
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"not within {limit} s: {what}")
            await asyncio.sleep(0.05)

    async def submit(self, vm, route, body, deadline_ms=1500, headers=None, name=None):
        """Hands a job in at one VM. Returns its id, the status and the answer."""
        identity = name or f"{random.getrandbits(64):016x}"
        sent = self.record.now()
        self.record.add("client-send", f"POST /{route}/{identity}", f"vm={vm.name}", headers or "")
        more = dict({"Deadline-Ms": str(deadline_ms)}, **(headers or {}))
        status, answer = await request(vm.ip, 8161, "POST", f"/{route}/{identity}", body, more,
                                       timeout=deadline_ms / 1000 + 0.2)
        self.record.add("client-answer", f"POST /{route}/{identity}", f"vm={vm.name}", f"sent={sent:.3f}", status,
                        answer)
        return identity, status, answer

    async def ask(self, vm, method, path):
        sent = self.record.now()
        status, answer = await request(vm.ip, 8161, method, path, headers={"Deadline-Ms": "1500"}, timeout=1.7)
        self.record.add("client-answer", method, path, f"vm={vm.name}", f"sent={sent:.3f}", status, answer)
        return status, answer

    async def stop(self):
        for vm in self.vms:
            try:
                if vm.process and vm.process.returncode is None:
                    vm.signal(signal.SIGCONT)
                await vm.kill()
            except ProcessLookupError:
                pass
        if os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                print(f"== {vm.name}")
                print(open(vm.output, encoding="utf-8", errors="replace").read())
        self.directory.cleanup()


def main(case, folder):
    """Runs `case(site, record, trouble)`, which returns a list of breaches of the rule. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add("trouble", trouble)

    async def run():
        site = Site(record)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(site, record, trouble), 115)
        finally:
            await site.stop()

    try:
        breaches = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # whatever keeps the case from running is reported as such
        record.add("not run:", repr(error))
        print("not run:", repr(error), flush=True)
        os._exit(2)
    for breach in breaches:
        record.add("BROKEN:", breach)
        print("broken:", breach)
    record.add("result", "broken" if breaches else "held")
    print("rule broken" if breaches else "rule held", flush=True)
    # At once: connections that the loop left open need no clean-up.
    os._exit(1 if breaches else 0)
