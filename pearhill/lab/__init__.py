"""The laboratory: scripted model servers, an open-loop load, and reports. Loopback only; bounded in count and time.

It uses the dispatcher as anyone would, through its operator's file and its ports. It comes with the extra `[lab]`.
"""
