"""Stand-ins for the platform, its replicas and its clients, for the scripts in review/.

Everything runs on loopback addresses. The stand-ins follow PROTOCOL.md; where that page is silent
they behave like a sound store, replica or client.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.2
# Longest time that a case may take.
LIMIT_S = 112
NODE = "target/release/damaskstile-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
# Loopback addresses of this run's own begin so.
NETWORK = f"127.{1 + os.getpid() % 200}.{random.randrange(1, 250)}"


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, *words):
        self.file.write(f"{now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body sent with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store of objects."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.is_down = False
        self.beats = {}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self._expire())

    def set_down(self, is_down):
        self.record.line("store", "down" if is_down else "up")
        self.is_down = is_down
        if not is_down:
            # Entries are given the time that they need to come back.
            self.beats = {name: time.monotonic() for name in self.beats}

    async def put(self, kind, name, spec):
        """Writes an object as the operator or a replica does."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["Spec"] == spec:
            return
        self.revision += 1
        created = known["Metadata"]["CreateRevision"] if known else self.revision
        self.objects[kind][name] = {
            "Metadata": {"Name": name, "Revision": self.revision, "CreateRevision": created,
                         "Finalizers": [], "Deleting": False},
            "Spec": spec, "Status": None}
        self.history.append((self.revision, kind, name, False, self.objects[kind][name]))
        async with self.changed:
            self.changed.notify_all()

    async def delete(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return
        self.revision += 1
        self.history.append((self.revision, kind, name, True, known))
        async with self.changed:
            self.changed.notify_all()

    async def beat(self, name, spec):
        """Writes a replica's entry; returns whether the store was there to take it."""
        if self.is_down:
            return False
        self.beats[name] = time.monotonic()
        known = self.objects.get("servers", {}).get(name)
        # The entry changes when more than `Sequence` changes.
        if known is None or {**known["Spec"], "Sequence": 0} != {**spec, "Sequence": 0}:
            await self.put("servers", name, spec)
        return True

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.is_down:
                continue
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.beats[name]
                    self.record.line("store", "removes the entry of", name)
                    await self.delete("servers", name)

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                first, headers = message
                body = await read_body(reader, headers)
                if self.is_down:
                    # Nothing is done and nothing is answered, also not later.
                    await reader.read()
                    return
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, body)
                if self.is_down:
                    await reader.read()
                    return
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        words = parts.path.strip("/").split("/")
        if words[:2] != ["v1", "objects"] or len(words) < 3:
            return 404, {}
        kind = words[2]
        name = words[3] if len(words) > 3 else None
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")))
        if method == "GET":
            after = query.get("After", "")
            items = [objects[one] for one in sorted(objects) if one > after]
            return 200, {"Items": items, "HasMore": False, "StoreRevision": self.revision}
        sent = json.loads(body) if body else {}
        metadata = sent.get("Metadata") or {}
        if method == "POST":
            name = metadata["Name"]
            if name in objects:
                return 409, objects[name]
            await self.put(kind, name, sent.get("Spec"))
            return 200, objects[name]
        if name not in objects:
            return 404, {}
        wanted = metadata.get("Revision") or int(query.get("Revision", "0"))
        if wanted and wanted != objects[name]["Metadata"]["Revision"]:
            return 409, objects[name]
        if method == "PUT":
            await self.put(kind, name, sent.get("Spec"))
            return 200, objects[name]
        if method == "DELETE":
            known = objects[name]
            await self.delete(kind, name)
            return 200, known
        return 404, {}

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"Object": known, "Deleted": gone}
                      for revision, of, _, gone, known in self.history
                      if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Replica:
    """A replica of a service, which can go dark or be cut off. It has an IP address of its own, so
    that nothing else takes its port while it is cut off."""

    count = 0

    def __init__(self, record, store, name, service, zone, version="v1", events=30, pause_s=0.05,
                 slots=64):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.version, self.events, self.pause_s = zone, version, events, pause_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.incarnation = 1
        self.is_dark = False
        self.runs = []
        self.writers = set()
        self.weights = 1

    async def start(self):
        Replica.count += 1
        self._listen((f"{NETWORK}.{100 + Replica.count}", 8080))
        self.address = "%s:%d" % self.listener.getsockname()
        await self.store.beat(self.name, self.entry())
        asyncio.ensure_future(self._beat())

    def _listen(self, address):
        self.listener = socket.create_server(address, backlog=1024)
        self.listener.setblocking(False)
        self.accepting = asyncio.ensure_future(self._accept(self.listener))

    async def _accept(self, listener):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader, self._serve)
            await loop.connect_accepted_socket(lambda: protocol, connection)

    def entry(self):
        self.sequence += 1
        return {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": self.version, "Slots": self.slots, "State": "ready",
                "ColdRemainingMs": 0, "Stage": "prefill_decode",
                "Models": [{"Name": "m", "Version": self.weights, "Adapters": []}],
                "Sequence": self.sequence, "born": self.born}

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_dark:
                await self.store.beat(self.name, self.entry())

    async def cut_off(self):
        """The replica is partitioned from all machines of the system; their connections are reset.
        It runs on and reaches the store."""
        self.record.line("replica", self.name, "is cut off, connections are reset")
        self.accepting.cancel()
        await asyncio.sleep(0)
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def heal(self):
        ip, port = self.address.split(":")
        self._listen((ip, int(port)))
        self.record.line("replica", self.name, "is reachable again")

    def go_dark(self):
        """The replica's machine loses power: nothing is answered, nothing runs on. Most new
        connections hang, since the queue of the listener is short and not read."""
        self.record.line("replica", self.name, "goes dark")
        self.is_dark = True
        self.accepting.cancel()
        self.listener.listen(0)

    async def come_back(self, version):
        """The replica starts again under its Id and knows nothing of before."""
        self.is_dark = False
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.version = version
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self._reset_queue()
        self.listener.listen(1024)
        self.accepting = asyncio.ensure_future(self._accept(self.listener))
        taken = await self.store.beat(self.name, self.entry())
        self.record.line("replica", self.name, "is back, version", version,
                         "its entry is" + ("" if taken else " not") + " taken by the store")

    def _reset_queue(self):
        """The new process knows nothing of connections that were begun before its start."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()

    async def _serve(self, reader, writer):
        incarnation = self.incarnation
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                first, headers = message
                body = await read_body(reader, headers)
                while self.is_dark and incarnation == self.incarnation:
                    await asyncio.sleep(0.02)
                if incarnation != self.incarnation:
                    return
                await self._answer(first, headers, body, writer, incarnation, reader)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, first, headers, body, writer, incarnation, reader):
        request = headers.get("x-request-id", "-")
        echo = f"X-Request-Id: {request}\r\n"
        expected = headers.get("x-expect-instance")
        weights = headers.get("x-expect-version")
        if (expected and expected != self.name) or (weights and weights != str(self.weights)):
            self.record.line("replica", self.name, "answers 421 to", request)
            writer.write((f"HTTP/1.1 421 Misdirected Request\r\n{echo}X-Instance-Id: {self.name}\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return
        self.record.line("replica", self.name, self.version, "runs", request, first.split(" ")[1],
                         "tenant", headers.get("x-tenant", "-"))
        self.runs.append((now(), request, headers))
        signed = (f"{echo}X-Response-Signature: {self.name}.{self.incarnation}.{request}\r\n"
                  f"X-Weight-Versions: {self.weights}\r\n")
        if self.events == 0:
            await asyncio.sleep(self.pause_s)
            writer.write((f"HTTP/1.1 200 OK\r\n{signed}Content-Length: 4\r\n\r\ndone").encode())
            await writer.drain()
            return
        writer.write((f"HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        done = int(headers.get("last-event-id", "0"))
        for number in range(done + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            while self.is_dark and incarnation == self.incarnation:
                await asyncio.sleep(0.02)
            if incarnation != self.incarnation or writer.is_closing() or reader.at_eof():
                raise ConnectionError
            event = f"id: {number}\ndata: {self.name} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def free_ips(count):
    """Loopback addresses of this run's own, one for each node."""
    return [f"{NETWORK}.{index + 1}" for index in range(count)]


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, folder, name, ip, zone, store, seeds, regions):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.settings = os.path.join(folder, name + ".toml")
        zones = "".join(f'"{one}" = "{region}"\n' for one, region in regions.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f'instance = "{name}"\ndata_centre = "{zone}"\nip = "{ip}"\n'
                f'callers_address = "{ip}:8740"\nreadiness_address = "{ip}:8749"\n'
                f'peers_port = 7200\nstore_address = "{store}"\nseeds = "{seeds}"\n'
                "is_first_start = true\ncapacity = 0.25\nlink_mbit_per_s = 1000.0\n"
                "stop_limit_s = 8\nretry_ratio = 0.2\nretry_extra = 58\nretry_span_s = 10\n"
                f"[regions]\n{zones}")
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        self.record.line("node", self.name, "starts")
        environment = dict(os.environ, DAMASKSTILE_CONFIG=self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([NODE], env=environment, stdout=log, stderr=log)

    async def restart(self):
        """The platform stops the process (SIGTERM, SIGKILL after GraceS) and starts it again."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + 8
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()
        # `Bootstrap` is true only when the whole system starts for the first time.
        with open(self.settings, encoding="utf-8") as file:
            text = file.read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text.replace("is_first_start = true", "is_first_start = false"))
        self.start()
        await self.wait_ready()

    def signal(self, number):
        self.record.line("node", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if (await ask(self.ip, 8749, "GET", "/v1/readiness", {}, limit_s=1)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


class Answer:
    """What a client got: the status (0: no connection or no answer), headers, events, body."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete = False

    def events(self):
        """(id, data) of each complete event."""
        events = []
        for block in self.body.decode("latin-1").split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
            events.append((int(fields.get("id", "0")), fields.get("data", "")))
        return events


async def ask(ip, port, method, path, headers, body=b"", limit_s=10, leave_after=None):
    """Sends one request on a connection of its own. `leave_after`: the client's connection is
    reset after so many events."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        await asyncio.wait_for(_read_answer(reader, answer, leave_after), limit_s)
    except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return answer


async def _read_answer(reader, answer, leave_after):
    message = await read_head(reader)
    if message is None:
        return
    first, answer.headers = message
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() != "chunked":
        answer.body = await read_body(reader, answer.headers)
        answer.is_complete = True
        return
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            answer.is_complete = True
            return
        answer.body += chunk
        if leave_after and answer.body.count(b"\n\n") >= leave_after:
            return


def config(version, routes, services, tenants):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": tenants}


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, resume=False, priority=0):
    one = {"Name": name, "Host": "review.example", "PathPrefix": prefix, "RouteType": kind,
           "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms, "Priority": priority,
           "Service": service, "MaxAttempts": attempts, "AllowAnonymous": False}
    if kind == "streaming":
        one.update({"SessionAffinity": True, "StreamResume": resume, "GapAimMs": 400})
    return one


def engine_service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1",
            "Tls": False,
            "Engine": {"Slots": 64, "KvCacheTokens": 428817, "KvBytes": 18432,
                       "LinkMbps": 550000.0, "Moves": True, "Backups": True, "Stride": 6,
                       "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
                       "Models": [{"Name": "m"}]}}


def run(main, folder):
    """Runs a case: `main(record, folder for settings)` returns whether the rule was broken."""
    record = Record(folder)
    nodes = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as settings:
            try:
                is_broken = asyncio.run(asyncio.wait_for(main(record, settings, nodes), LIMIT_S))
            finally:
                for node in nodes:
                    node.end()
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.line("could not run:", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
