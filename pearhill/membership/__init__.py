"""Dispatchers that may talk: who is there, and what work each has sent where. Free of I/O; clock and randomness are
passed in. The platform's dispatchers may not talk, and load none of this."""
