"""The files of a fleet's processes, as operators would write them. Addresses are of this machine alone."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pearhill.chat.keys import record_of
from pearhill.lab.scale.plan import ScaleTable

HERE = "127.0.0.1"
APP = "REPLICAS"
MODELS = ("small", "large", "code", "long")
NAME, LISTEN, SEED, ZONE, REGION = "@name@", "@listen@", "@seed@", "@zone@", "@region@"

SETTINGS = """
[settings]
n-instances = {instances}
zone = @zone@
zones = {zones}
models = ["reader", "writer"]
tick = 2000
over-share-worth = 0.3

[settings.allowed]
max-attempts = 4
max-retry-after = 500000
may-cancel = true
most-held = 1000
retry-after = true
second-copies = false

[settings.rules]
cold = 13000000
cold-from = 0.28
fall = 1500000
fall-multiple = 2.5

[settings.extra]
local-read = true
release-within = 300000
role-by-kind = ["read", "write"]
tokens-by-kind = [400000, 400000]

[[settings.classes]]
name = "chat"
aim = 1600000
deadline = 8000000
effect = "read_like"
worth = 1.0
late-worth = 0.1
"""


@dataclass(frozen=True, slots=True)
class Place:
    """One dispatcher: its name, where it talks, its region and zone, its seed, and how many times the mean it has."""

    name: str
    listen: str
    region: int
    zone: int
    seed: int
    weight: float = 1.0


def free_ports(count: int) -> list[int]:
    """UDP ports that nobody has now. All are held until all are known, so that none comes twice."""
    held = []
    try:
        for _ in range(count):
            held.append(socket.socket(type=socket.SOCK_DGRAM))
            held[-1].bind((HERE, 0))
        return [int(end.getsockname()[1]) for end in held]
    finally:
        for end in held:
            end.close()


def zones(s: ScaleTable) -> list[str]:
    return [f"r{r}-z{z}" for r in range(s.regions) for z in range(s.zones_per_region)]


def places(s: ScaleTable, count: int) -> list[Place]:
    """Dispatchers spread over the zones, one after the other; every so many-th is a heavy one."""
    rng, ports, n = random.Random(s.seed), free_ports(count), s.regions * s.zones_per_region
    return [
        Place(
            f"d{k}",
            f"{HERE}:{ports[k]}",
            k % n // s.zones_per_region,
            k % n,
            rng.getrandbits(31),
            s.heavy_weight if k % s.heavy_every == s.heavy_every - 1 else 1.0,
        )
        for k in range(count)
    ]


def tenant_key(seed: int, tenant: int = 0) -> str:
    """A key that is drawn, and so no secret: it opens nothing but the run's own dispatchers."""
    return f"ph-{random.Random(f'{seed} {tenant}').getrandbits(256):064x}"


def _tenants(count: int, seed: int) -> str:
    rng = random.Random(seed)
    made = []
    for k in range(count):
        record = record_of(tenant_key(seed, k), rng.randbytes(16))
        made.append(f'\n[[chat.tenant]]\nname = "tenant-{k}"\nkeys = ["{record}"]\nmodels = ["{MODELS[k % 4]}"]\n')
    return "".join(made)


def template(
    s: ScaleTable,
    way: str,
    members: Sequence[Place],
    aggregators: Mapping[str, str],
    discovery: str,
    key_file: str,
    max_out: int = 800,
) -> str:
    """The operator's file of every dispatcher, with places for what is each one's own."""
    text = (
        f'[chat]\nlisten = "{HERE}:0"\nadmin_addr = "{HERE}:0"\nsockets = 512\nseed = @seed@\n'
        f'default_class = "chat"\nmax_out = {max_out}\n'
    )
    text += "".join(f'\n[[chat.model]]\nname = "{name}"\n' for name in MODELS) + _tenants(s.tenants, s.seed)
    text += SETTINGS.format(instances=len(members), zones=json.dumps(zones(s)))
    text += f'\n[eureka]\naddress = "{discovery}"\nservers = "{APP}"\nfetch_s = {s.fetch_s}\n'
    if way == "own":
        return text
    text += f'\n[fleet]\nname = "@name@"\nlisten = "@listen@"\nkey_files = ["{key_file}"]\n'
    if way == "talk":
        return text + "".join(f'[[fleet.peer]]\nname = "{p.name}"\naddress = "{p.listen}"\n' for p in members)
    text += 'region = "@region@"\n'
    return text + "".join(
        f'[[fleet.aggregator]]\nname = "{name}"\naddress = "{address}"\nregion = "r{k % s.regions}"\n'
        for k, (name, address) in enumerate(aggregators.items())
    )


def filled(text: str, place: Place) -> str:
    for mark, value in (
        (NAME, place.name),
        (LISTEN, place.listen),
        (SEED, str(place.seed)),
        (ZONE, str(place.zone)),
        (REGION, f"r{place.region}"),
    ):
        text = text.replace(mark, value)
    return text


def aggregator_file(name: str, listen: str, peers: Mapping[str, str], key_file: str) -> str:
    text = f'[aggregator]\nname = "{name}"\nlisten = "{listen}"\nkey_files = ["{key_file}"]\nadmin_addr = "{HERE}:0"\n'
    others = {peer: address for peer, address in peers.items() if peer != name}
    return text + "".join(f'[[aggregator.peer]]\nname = "{p}"\naddress = "{a}"\n' for p, a in others.items())
