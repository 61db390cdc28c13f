"""Stand-ins for the platform's store, replicas and clients, and a starter of router processes.

Python with its standard library only. Everything listens on loopback addresses. The stand-ins
follow the users' pages (PROTOCOL.md, DEPLOY.md and the news pages).
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target/release/damaskstile-node")
STRIDE = 6  # tokens in an event of a stream


class Record:
    """What was sent, answered and run, written to record.txt beside the case."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


def http_answer(status, body=b"", headers=(), keep=True):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
              503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_head(reader):
    """Reads a request's or an answer's head: first line and headers in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: objects by kind and name, conditional writes, watches, eras."""

    def __init__(self, record):
        self.record = record
        self.objects = {}  # (kind, name) -> (revision, spec)
        self.history = []  # (revision, kind, name, spec or None)
        self.revision = 100
        self.era = 0
        self.silent = False
        self.changed = asyncio.Condition()
        self.server = None
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def _set(self, kind, name, spec):
        self.revision += 1
        self.history.append((self.revision, kind, name, spec))
        if spec is None:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = (self.revision, spec)

    async def put(self, kind, name, spec):
        """A write of the operator or of a replica."""
        async with self.changed:
            self._set(kind, name, spec)
            self.changed.notify_all()

    def copy(self):
        return dict(self.objects), list(self.history), self.revision

    async def restore(self, copy):
        """Comes back from an older copy. What the operator and the replicas wrote is written again."""
        async with self.changed:
            lost = {key: spec for key, (_, spec) in self.objects.items()
                    if not key[0].startswith("damaskstile")}
            objects, history, revision = copy
            self.objects, self.history, self.revision = dict(objects), list(history), revision
            self.era += 1
            for (kind, name), spec in lost.items():
                if self.objects.get((kind, name), (0, None))[1] != spec:
                    self._set(kind, name, spec)
            self.changed.notify_all()

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                while self.silent:
                    await asyncio.sleep(0.05)
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer, separators=(",", ":")).encode()
                head = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(http_answer(status, data, head))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    @staticmethod
    def object(name, revision, spec):
        return {"Metadata": {"Name": name, "Revision": revision, "CreateRevision": 1,
                             "Finalizers": [], "Deleting": False}, "Spec": spec, "Status": None}

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.split("/")[3:]
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)) / 1000)
        if method == "GET" and name is None:
            items = [self.object(n, r, s) for (k, n), (r, s) in sorted(self.objects.items())
                     if k == kind]
            return 200, {"Items": items, "HasMore": False, "StoreRevision": self.revision}
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, self.object(name, *found)) if found else (404, {})
        sent = json.loads(body)
        name = name or sent["Metadata"]["Name"]
        async with self.changed:
            found = self.objects.get((kind, name))
            if method == "POST" and found:
                return 409, self.object(name, *found)
            if method == "PUT" and not found:
                return 404, {}
            wanted = sent["Metadata"].get("Revision", 0)
            if method == "PUT" and wanted and wanted != found[0]:
                return 409, self.object(name, *found)
            if not found or found[1] != sent["Spec"]:
                self._set(kind, name, sent["Spec"])
                self.changed.notify_all()
            return 200, self.object(name, *self.objects[(kind, name)])

    async def watch(self, kind, after, wait):
        until = time.monotonic() + wait
        era = self.era
        while True:
            if after > self.revision or era != self.era:
                return 410, {}
            events = [{"Deleted": s is None, "Object": self.object(n, r, s)}
                      for r, k, n, s in self.history if r > after and k == kind]
            left = until - time.monotonic()
            if not self.silent and (events or left <= 0):
                return 200, {"events": events, "StoreRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.01, min(left, 0.5)))
                except asyncio.TimeoutError:
                    pass


class Replica:
    """A sound replica: streams the events that a request asks for, or answers plain requests."""

    def __init__(self, record, name, service, slots=64):
        self.record, self.name, self.service, self.slots = record, name, service, slots
        self.runs = []  # (request id, tenant, tokens in, tokens out)
        self.running = 0
        self.event_s = 0.02
        self.first_s = 0.03
        self.plain_s = 0.03
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.writers = set()
        self.crashed = lambda id: None  # called with the id of a request that crashes the replica

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def restart(self, down_s, version):
        """Ends without a word and starts again under the same id at the same address."""
        self.record.note(f"replica {self.name} ends")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.version, self.born = version, int(time.time() * 1000)
        ip, port = self.address.split(":")
        await self.start(ip, int(port))
        self.record.note(f"replica {self.name} runs again, software {version}")

    def entry(self, state="ready"):
        return {"Service": self.service, "Address": self.address, "Zone": "north", "Version": self.version,
                "Slots": self.slots, "State": state, "ColdRemainingMs": 0, "Stage": "prefill_decode",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": 1,
                "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                await self.answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, writer, method, path, headers, body):
        load = ("X-Server-Load", f"{self.running},0,{self.slots}")
        id = headers.get("x-request-id", "")
        if path == "/v1/report":
            report = {"Stage": "prefill_decode", "Models": [{"Name": "m", "Version": 1}], "Busy": False,
                      "Sequence": 0, "Waiting": 0, "Running": self.running, "KvUsed": 0,
                      "KvTotal": 428817, "Handles": 0, "born": self.born}
            writer.write(http_answer(200, json.dumps(report).encode()))
            return
        if path == "/health":
            writer.write(http_answer(200, b"", [("X-Instance-Id", self.name), load]))
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(http_answer(421, b"", [("X-Instance-Id", self.name), ("X-Request-Id", id)]))
            return
        if self.running >= self.slots:
            writer.write(http_answer(503, b"", [("X-Not-Executed", "1"), ("X-Request-Id", id), load]))
            return
        self.running += 1
        run = {"id": id, "tenant": headers.get("x-tenant"), "in": 0, "out": 0, "body": len(body)}
        self.runs.append(run)
        self.record.note(f"replica {self.name} runs {id} tenant {run['tenant']} body {len(body)}")
        if path.endswith("/poison"):
            self.running = 0
            self.crashed(id)
            raise ConnectionError("crashed")
        try:
            base = [("X-Request-Id", id), ("X-Response-Signature", f"sig-{self.name}-{id}"), load,
                    ("X-Weight-Versions", "1")]
            if "x-token-usage" not in headers:
                await asyncio.sleep(self.plain_s)
                writer.write(http_answer(200, f"answer to {id}".encode(), base))
                await writer.drain()
                return
            tokens_in, tokens_out = map(int, headers["x-token-usage"].split(","))
            run["in"] = tokens_in
            await asyncio.sleep(self.first_s)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            head += [f"{name}: {value}" for name, value in base]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            version, after = self.version, int(headers.get("last-event-id", "0"))
            for event in range(after + 1, tokens_out // STRIDE + 1):
                data = f"id: {event}\ndata: {version} {id} piece {event}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                run["out"] += STRIDE
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


def free_ports(ip, count):
    sockets, ports = [], []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
        ports.append(one.getsockname()[1])
    for one in sockets:
        one.close()
    return ports


class Node:
    """A router process with settings like those of a small deployment."""

    def __init__(self, record, folder, name, ip, ports, seeds, store, zone="north"):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self.path = os.path.join(folder, name + ".toml")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None
        self.settings = lambda first: (
            f'instance = "{name}"\ndata_centre = "{zone}"\nip = "{ip}"\n'
            f'callers_address = "{self.front}"\nreadiness_address = "{self.ready}"\n'
            f'peers_port = {ports[2]}\nstore_address = "{store}"\nseeds = "{seeds}"\n'
            f'is_first_start = {"true" if first else "false"}\ncapacity = 0.25\n'
            f'link_mbit_per_s = 1000.0\nstop_limit_s = 8\nretry_ratio = 0.2\nretry_extra = 54\n'
            f'retry_span_s = 10\n[regions]\n"{zone}" = "tw-north"\n')

    async def start(self, first=False):
        with open(self.path, "w") as file:
            file.write(self.settings(first))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DAMASKSTILE_CONFIG"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.note(f"started {self.name} pid {self.process.pid}")

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.record.note(f"signal {number} to {self.name} pid {self.process.pid}")
            self.process.send_signal(number)

    async def end(self):
        self.kill()
        if self.process:
            await self.process.wait()

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            ip, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(f"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.note(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.events = None, {}, b"", False, 0
        self.error = None

    def __str__(self):
        return (f"status {self.status} whole {self.whole} events {self.events} "
                f"signature {self.headers.get('x-response-signature')} error {self.error}")


async def request(address, method, host, path, id, key, headers=(), body=b"", limit=12.0,
                  connection=None):
    """Sends one request and reads its answer; returns it with the connection, if that is kept."""
    answer = Answer()
    ip, port = address.split(":")
    reader = writer = None

    async def exchange():
        nonlocal reader, writer
        if connection:
            reader, writer = connection
        else:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {id}",
                 f"X-Deadline-Ms: {int(limit * 1000)}", f"Authorization: Bearer {key}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                if size == 0:
                    await reader.readline()
                    break
                piece = await reader.readexactly(size)
                await reader.readexactly(2)
                answer.body += piece
                answer.events += piece.count(b"id: ")
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True

    try:
        await asyncio.wait_for(exchange(), limit + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    kept = None
    if answer.whole and "close" not in answer.headers.get("connection", "").lower():
        kept = (reader, writer)
    elif writer:
        writer.transport.abort()
    return answer, kept


def route(name, path, kind, service, timeout_ms, attempts=1, resume=False):
    return {"Name": name, "Host": "site.example", "PathPrefix": path, "RouteType": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": 400, "Priority": 0, "Service": service,
            "MaxAttempts": attempts, "AllowAnonymous": False, "StreamResume": resume,
            "SessionAffinity": kind == "streaming", "GapAimMs": 400}


def config(version, tenants, attempts=1):
    return {
        "Version": version,
        "Routes": [
            route("draft", "/draft/", "streaming", "model", 12000, attempts),
            route("ask", "/ask/", "streaming", "model", 12000, 2, True),
            route("ack", "/ack/", "non_idempotent", "app", 4000),
            route("fetch", "/fetch/", "idempotent", "app", 4000, 2),
        ],
        "Services": [
            {"Name": "model", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1",
             "Tls": False, "Engine": {"Slots": 64, "KvCacheTokens": 428817, "KvBytes": 18432,
                                      "LinkMbps": 550000.0, "Moves": False, "Backups": False,
                                      "Stride": STRIDE, "most": 12, "Models": [{"Name": "m"}]}},
            {"Name": "app", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1",
             "Tls": False},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": tenants,
    }


class World:
    """A store, replicas and router processes on loopback addresses of this run alone."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="damaskstile-case-")
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.nodes, self.replicas = [], []

    async def open(self, nodes, models, apps, tenants, attempts=1):
        self.store = Store(self.record)
        await self.store.start(self.net + ".1")
        await self.store.put("config", "main", config(1, tenants, attempts))
        for index in range(models + apps):
            service = "model" if index < models else "app"
            replica = Replica(self.record, f"i-{service}-{index}", service)
            await replica.start(self.net + ".1")
            await self.store.put("servers", replica.name, replica.entry())
            self.replicas.append(replica)
        ports = free_ports(self.net + ".10", 4)
        seeds = ",".join(f"{self.net}.{10 + index}:{ports[3]}" for index in range(min(3, nodes)))
        for index in range(nodes):
            self.nodes.append(Node(self.record, self.folder, f"front-{index + 1}",
                                   f"{self.net}.{10 + index}", ports, seeds, self.store.address))
        for node in self.nodes:
            await node.start(first=True)
        for node in self.nodes:
            if not await node.wait_ready():
                return False
        await asyncio.sleep(2.5)
        return True

    async def close(self):
        for node in self.nodes:
            await node.end()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs `case(world, trouble)`, which returns whether the rule was broken, or None."""
    if not os.access(PROGRAM, os.X_OK):
        print("no program; build it first")
        sys.exit(2)

    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world, os.environ.get("TROUBLE", "1")), 110)
        finally:
            await world.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case could not run
        print("could not run:", repr(error))
        sys.exit(2)
    sys.exit(2 if broken is None else int(broken))
