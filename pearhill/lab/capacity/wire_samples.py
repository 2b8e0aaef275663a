"""Sample messages and a sample of the operator's file, used to count their bytes."""

from __future__ import annotations

from pearhill.chat.file import EurekaTable

DEFAULT_EUREKA = EurekaTable(address="", servers="")  # all other fields have the defaults of the operator's file

# An entry of the endpoint list as the platform's discovery writes it, with numbers of the largest width.
ENDPOINT_ENTRY = {
    "uid": "s-5be2a07c",
    "endpoint": "10.112.10.18:8080",
    "az": "a",
    "model": "m2",
    "pod_group": 313,
    "state": "active",
    "capacity_hint": 1.0,
    "boot_ms": 1_796_187_600_000,
}

# An instance as Eureka's registry writes it (REST operations of Netflix's Eureka).
EUREKA_INSTANCE = {
    "instanceId": "10.112.10.18:replicas:8080",
    "hostName": "10.112.10.18",
    "app": "REPLICAS",
    "status": "UP",
    "ipAddr": "10.112.10.18",
    "overriddenStatus": "UNKNOWN",
    "port": {"$": 8080, "@enabled": "true"},
    "securePort": {"$": 443, "@enabled": "false"},
    "countryId": 1,
    "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
    "leaseInfo": {
        "renewalIntervalInSecs": 30,
        "durationInSecs": 90,
        "registrationTimestamp": 1_796_187_600_000,
        "lastRenewalTimestamp": 1_796_187_600_000,
        "evictionTimestamp": 0,
        "serviceUpTimestamp": 1_796_187_600_000,
    },
    "metadata": {"kind": "writer", "zone": "r1-z1", "cell": "313"},
    "vipAddress": "replicas",
    "isCoordinatingDiscoveryServer": "false",
    "lastUpdatedTimestamp": "1796187600000",
    "lastDirtyTimestamp": "1796187600000",
    "actionType": "MODIFIED",
}
EUREKA_DELTA_RETENTION_S = 180.0  # how long a delta repeats a change; the registry's default

# One replica in the response to GET /ops/fleet.
REPLICA_STATUS = {
    "address": "10.112.10.18:8080",
    "avoided": False,
    "mine": {"waiting": 3815, "load": 41210},
    "others": {"waiting": 125895, "load": 1318712, "sure": 0.667},
}

# One tenant in the operator's file.
TENANT_TABLES = """[[chat.tenant]]\nname = "lycee-tiznit-0123"\nkeys = ["1f0c9a2e5b7d4c3a$%s"]\nmodels = ["help-desk"]

[[budgets.tenant]]\nname = "lycee-tiznit-0123"\ntokens_per_min = 60000\nburst_tokens = 30000\nweight = 2.0\n
""" % ("0" * 64)
