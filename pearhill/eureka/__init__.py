"""A client of Eureka's registry API, written from its public REST description."""
