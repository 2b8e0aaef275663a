"""The registration that a dispatcher sends to a Eureka registry."""

from __future__ import annotations

import time
from typing import Any

from pearhill.eureka.setup import EurekaSetup
from pearhill.net.address import Address


def registration_body(setup: EurekaSetup, instance_id: str, address: Address) -> dict[str, Any]:
    """Returns the body of a registration, as Eureka's REST description defines it."""
    host, port = address
    now_ms = int(time.time() * 1000)
    return {
        "instance": {
            "instanceId": instance_id,
            "hostName": host,
            "app": setup.register_as,
            "ipAddr": host,
            "status": "UP",
            "overriddenstatus": "UNKNOWN",
            "port": {"$": port, "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1,
            "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": setup.renew_s, "durationInSecs": setup.lease_s},
            "metadata": {"role": "dispatcher"},
            "vipAddress": setup.register_as.lower(),
            "healthCheckUrl": f"http://{host}:{port}/ready",
            "lastUpdatedTimestamp": str(now_ms),
            "lastDirtyTimestamp": str(now_ms),
        }
    }
