"""Load tests of the dispatcher: stand-in model servers, an open-loop load, and reports.

They run on loopback only and are limited in count and time. They use the dispatcher through its public interfaces, the
operator's file and the ports. The dependencies are installed with the extra `[lab]`.
"""
