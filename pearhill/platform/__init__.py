"""The platform's own protocol, towards its clients, its replicas and its discovery."""
