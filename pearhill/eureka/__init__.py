"""Eureka's registry API, from its public REST description."""
