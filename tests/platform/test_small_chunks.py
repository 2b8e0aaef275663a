"""Streams and bodies whose sender writes them in small chunks arrive whole and unchanged."""

import random

from tests.platform.test_owed import BODY, LoopbackDispatcher, loopback, read_answer, request  # noqa: F401
from tests.standins import STREAM_CHUNKS, STREAM_END, Standin, StandinHandler

SEED = 7
EVENTS = STREAM_CHUNKS * 200
MAX_CHUNK_BYTES = 8


def small_chunks(data: bytes) -> bytes:
    """Return a body in chunks of 1 to MAX_CHUNK_BYTES bytes, with the last chunk."""
    rng = random.Random(SEED)
    chunks = []
    while data:
        size = rng.randint(1, MAX_CHUNK_BYTES)
        chunks.append(b"%x\r\n%b\r\n" % (len(data[:size]), data[:size]))
        data = data[size:]
    return b"".join(chunks) + b"0\r\n\r\n"


def test_a_stream_in_small_chunks_reaches_the_client_whole(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """Guards against review/3: the dispatcher cut a good stream off after 32 KiB of chunk sizes."""
    server = Standin()
    stream = b"".join(EVENTS) + STREAM_END

    def respond(handler: StandinHandler, body: bytes) -> None:
        handler.chunks(last=False)
        handler.wfile.write(small_chunks(stream))

    server.respond = respond
    loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("s1"))
    assert read_answer(client) == (200, stream)


def test_a_request_body_in_small_chunks_reaches_the_replica_whole(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """The same cause on the way in: the client got 431."""
    server = Standin()
    loopback.start((server, "all-in-one"))
    body = BODY[:-1] + b', "padding": "%b"}' % (b"x" * 50_000)
    head = request("s2").partition(b"Content-Length")[0]
    client = loopback.connect()
    client.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n" + small_chunks(body))
    assert read_answer(client)[0] == 200
    assert server.bodies == [body]
