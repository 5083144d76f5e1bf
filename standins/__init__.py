"""Stand-ins: programs that simulate the systems masticfork talks to.

Tests, benchmarks and demonstrations run them in place of the real backend servers,
platform object API, host list, weight store and rating service.
"""
