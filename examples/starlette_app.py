"""A Starlette application with the dispatcher as middleware.

Run it with an ASGI server: `uvicorn examples.starlette_app:app`. PEARHILL_CHAT names the operator's file.
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
    """A page of the application's own: the middleware leaves it alone."""
    return JSONResponse({"open": "09:00", "close": "18:00"})


app = Starlette(
    routes=[Route("/hours", hours)],
    middleware=[Middleware(PearhillMiddleware, setup=load(os.environ.get("PEARHILL_CHAT", "deploy/chat.toml")))],
)
