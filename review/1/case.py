"""A tenant is taken out of the configuration and put back, and the system is restarted meanwhile.

BUDGET: a tenant gets more than its `Prepaid`, over restarts.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import *  # noqa: E402

PREPAID = 60_000
PROMPT, EVENTS, STRIDE = 100, 40, 6
OUTPUT = EVENTS * STRIDE
COST = PROMPT + OUTPUT
# Streams that run while the tenant is taken out.
STREAMS = 140
ZONES = {"one": "region", "two": "region", "three": "region"}


def configuration(version, names):
    tenants = [{"Name": name, "ApiKeys": [f"key-of-{name}"], "Priority": 1, "Prepaid": PREPAID}
               for name in names]
    routes = [route("queries", "/query/", "streaming", "engine", 12000, 400, 2, resume=True)]
    return config(version, routes, [engine_service("engine")], tenants)


class Clients:
    def __init__(self, record, nodes):
        self.record, self.nodes, self.sent = record, nodes, 0
        self.consumed, self.statuses = 0, {}

    async def one(self, phase):
        self.sent += 1
        request = f"{self.sent:016x}"
        node = self.nodes[self.sent % len(self.nodes)]
        headers = {"Host": "review.example", "X-Request-Id": request, "X-Model": "m",
                   "X-Token-Usage": f"{PROMPT},{OUTPUT}",
                   "X-Prompt-Prefix": f"5c1e07a2:60,{self.sent:08x}:40", "X-Deadline-Ms": "12000",
                   "Authorization": "Bearer key-of-alpha"}
        self.record.line("client", request, "sends to", node.name, "key-of-alpha")
        answer = await ask(node.ip, 8740, "POST", "/query/x", headers, b"prompt", limit_s=14)
        used = PROMPT + STRIDE * len(answer.events()) if answer.status == 200 else 0
        self.consumed += used
        key = (phase, answer.status, "complete" if answer.is_complete else "cut")
        self.statuses[key] = self.statuses.get(key, 0) + 1
        self.record.line("client", request, "by", node.name, "status", answer.status, "events",
                         len(answer.events()), "tokens", used, "consumed", self.consumed)

    async def send(self, count, per_s, phase):
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.ensure_future(self.one(phase)))
            await asyncio.sleep(1 / per_s)
        return tasks


async def main(record, folder, nodes):
    store = Store(record)
    await store.start()
    await store.put("config", "main", configuration(1, ["alpha", "beta"]))
    for index in range(6):
        zone = list(ZONES)[index % 3]
        await Replica(record, store, f"i-{index}", "engine", zone, events=EVENTS,
                      pause_s=0.15).start()
    ips = free_ips(3)
    seeds = ",".join(f"{ip}:8748" for ip in ips)
    for index, ip in enumerate(ips):
        nodes.append(Node(record, folder, f"node-{index}", ip, list(ZONES)[index], store.address,
                          seeds, ZONES))
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3)
    clients = Clients(record, nodes)
    running = await clients.send(STREAMS, 50, "before")
    if TROUBLE:
        record.line("operator: version 2 of the configuration lacks the tenant alpha")
        await store.put("config", "main", configuration(2, ["beta"]))
    await asyncio.gather(*running)
    record.line("consumed by the streams that ran:", clients.consumed)
    await asyncio.sleep(2)
    for node in nodes:
        await node.restart()
        await asyncio.sleep(1)
    if TROUBLE:
        record.line("operator: version 3 has the tenant again, as before")
        await store.put("config", "main", configuration(3, ["alpha", "beta"]))
    await asyncio.sleep(5)
    tasks = await clients.send(300, 20, "after")
    await asyncio.gather(*tasks)
    for key, count in sorted(clients.statuses.items()):
        record.line("counted:", *key, count)
    is_broken = clients.consumed > PREPAID
    record.line("consumed", clients.consumed, "prepaid", PREPAID,
                "broken" if is_broken else "held")
    return is_broken


run(main, FOLDER)
