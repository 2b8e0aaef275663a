"""A Starlette application with the dispatcher as middleware.

Run it with an ASGI server: `uvicorn examples.starlette_app:app`. The environment variable PEARHILL_CHAT is the path of
the operator's file.
"""

import os

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from pearhill.asgi import PearhillMiddleware
from pearhill.chat.setup import load


async def hours(request: Request) -> JSONResponse:
    """Serves a page of the application itself; the middleware passes this request through unchanged."""
    return JSONResponse({"open": "09:00", "close": "18:00"})


app = Starlette(
    routes=[Route("/hours", hours)],
    middleware=[Middleware(PearhillMiddleware, setup=load(os.environ.get("PEARHILL_CHAT", "deploy/chat.toml")))],
)
