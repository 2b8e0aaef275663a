"""Configuration files for the processes of a fleet. All addresses are on the loopback interface."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pearhill.chat.keys import record_of
from pearhill.lab.scale.plan import LoadExchange, ScaleTable

LOOPBACK = "127.0.0.1"
REGISTRY_APP = "REPLICAS"  # the registry application under which replicas are listed
MODEL_NAMES = ("small", "large", "code", "long")
# Placeholders in the template, which are replaced by the values of each dispatcher.
NAME_PLACEHOLDER = "@name@"
LISTEN_PLACEHOLDER = "@listen@"
SEED_PLACEHOLDER = "@seed@"
ZONE_PLACEHOLDER = "@zone@"
REGION_PLACEHOLDER = "@region@"

SETTINGS_TEMPLATE = """
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
class DispatcherSpec:
    """The values of one dispatcher. `listen` is the UDP address of its fleet socket, `weight` the ratio of its traffic
    to the mean."""

    name: str
    listen: str
    region: int
    zone: int
    seed: int
    weight: float = 1.0


def free_ports(count: int) -> list[int]:
    """Returns unused UDP ports. Each stays bound until all are drawn, so that no port is returned twice."""
    sockets: list[socket.socket] = []
    try:
        for _ in range(count):
            udp_socket = socket.socket(type=socket.SOCK_DGRAM)
            sockets.append(udp_socket)
            udp_socket.bind((LOOPBACK, 0))
        return [int(udp_socket.getsockname()[1]) for udp_socket in sockets]
    finally:
        for udp_socket in sockets:
            udp_socket.close()


def zone_names(scale: ScaleTable) -> list[str]:
    """Returns the zone names of all regions, by zone index. Zones of one region are adjacent."""
    return [f"r{region}-z{zone}" for region in range(scale.regions) for zone in range(scale.zones_per_region)]


def dispatcher_specs(scale: ScaleTable, count: int) -> list[DispatcherSpec]:
    """Returns dispatchers that are assigned to the zones in turn; every `heavy_every`th has `heavy_weight`."""
    rng = random.Random(scale.seed)
    ports = free_ports(count)
    return [_dispatcher_spec(scale, k, ports[k], rng.getrandbits(31)) for k in range(count)]


def _dispatcher_spec(scale: ScaleTable, index: int, port: int, seed: int) -> DispatcherSpec:
    zone = index % (scale.regions * scale.zones_per_region)
    is_heavy = index % scale.heavy_every == scale.heavy_every - 1
    return DispatcherSpec(
        name=f"d{index}",
        listen=f"{LOOPBACK}:{port}",
        region=zone // scale.zones_per_region,
        zone=zone,
        seed=seed,
        weight=scale.heavy_weight if is_heavy else 1.0,
    )


def tenant_api_key(seed: int, tenant: int = 0) -> str:
    """Returns a tenant's API key, drawn from the seed. It is not secret: only the run's own dispatchers accept it."""
    return f"ph-{random.Random(f'{seed} {tenant}').getrandbits(256):064x}"


def _tenant_tables(count: int, seed: int) -> str:
    rng = random.Random(seed)
    tables = []
    for k in range(count):
        record = record_of(tenant_api_key(seed, k), rng.randbytes(16))
        model = MODEL_NAMES[k % len(MODEL_NAMES)]
        tables.append(f'\n[[chat.tenant]]\nname = "tenant-{k}"\nkeys = ["{record}"]\nmodels = ["{model}"]\n')
    return "".join(tables)


def file_template(
    scale: ScaleTable,
    exchange: LoadExchange,
    dispatchers: Sequence[DispatcherSpec],
    aggregators: Mapping[str, str],
    discovery: str,
    key_file: str,
    max_out: int = 800,
) -> str:
    """Returns the template of the dispatchers' configuration files. `render_file` replaces its placeholders.

    `aggregators` are addresses by name. `discovery` is the registry's address. `key_file` is the path of the fleet's
    key. `max_out` is the maximum number of tokens of a response.
    """
    text = (
        f'[chat]\nlisten = "{LOOPBACK}:0"\nadmin_addr = "{LOOPBACK}:0"\nsockets = 512\nseed = {SEED_PLACEHOLDER}\n'
        f'default_class = "chat"\nmax_out = {max_out}\n'
    )
    text += "".join(f'\n[[chat.model]]\nname = "{name}"\n' for name in MODEL_NAMES)
    text += _tenant_tables(scale.tenants, scale.seed)
    text += SETTINGS_TEMPLATE.format(instances=len(dispatchers), zones=json.dumps(zone_names(scale)))
    text += f'\n[eureka]\naddress = "{discovery}"\nservers = "{REGISTRY_APP}"\nfetch_s = {scale.fetch_s}\n'
    if exchange is LoadExchange.OWN:
        return text
    text += f'\n[fleet]\nname = "{NAME_PLACEHOLDER}"\nlisten = "{LISTEN_PLACEHOLDER}"\nkey_files = ["{key_file}"]\n'
    if exchange is LoadExchange.GOSSIP:
        return text + _peer_tables(dispatchers)
    return text + f'region = "{REGION_PLACEHOLDER}"\n' + _aggregator_tables(aggregators, scale.regions)


def _peer_tables(dispatchers: Sequence[DispatcherSpec]) -> str:
    return "".join(f'[[fleet.peer]]\nname = "{d.name}"\naddress = "{d.listen}"\n' for d in dispatchers)


def _aggregator_tables(aggregators: Mapping[str, str], regions: int) -> str:
    return "".join(
        f'[[fleet.aggregator]]\nname = "{name}"\naddress = "{address}"\nregion = "r{k % regions}"\n'
        for k, (name, address) in enumerate(aggregators.items())
    )


def render_file(dispatcher: DispatcherSpec, template: str) -> str:
    """Returns the template with this dispatcher's values in place of the placeholders."""
    values = {
        NAME_PLACEHOLDER: dispatcher.name,
        LISTEN_PLACEHOLDER: dispatcher.listen,
        SEED_PLACEHOLDER: str(dispatcher.seed),
        ZONE_PLACEHOLDER: str(dispatcher.zone),
        REGION_PLACEHOLDER: f"r{dispatcher.region}",
    }
    for placeholder, value in values.items():
        template = template.replace(placeholder, value)
    return template


def aggregator_file(name: str, listen: str, peers: Mapping[str, str], key_file: str) -> str:
    """Returns the configuration file of one aggregator. `peers` are the addresses of all aggregators by name."""
    text = (
        f'[aggregator]\nname = "{name}"\nlisten = "{listen}"\nkey_files = ["{key_file}"]\n'
        f'admin_addr = "{LOOPBACK}:0"\n'
    )
    others = {peer: address for peer, address in peers.items() if peer != name}
    return text + "".join(
        f'[[aggregator.peer]]\nname = "{peer}"\naddress = "{address}"\n' for peer, address in others.items()
    )
