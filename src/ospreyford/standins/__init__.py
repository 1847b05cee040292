"""Small stand-ins of the platform, the engines and the plain services.

Each is a process of its own on loopback, for tests and demos only. Its
journal says what it really ran, so that no test has to believe the
product's own counters.
"""
