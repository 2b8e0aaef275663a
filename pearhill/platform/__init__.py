"""The platform's own protocol: its clients, its replicas and its discovery."""
