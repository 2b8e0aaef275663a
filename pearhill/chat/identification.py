"""Finds the tenant of a request by its API key, and the declared model that it asks for."""

from __future__ import annotations

from pearhill.chat.errors import ApiError, ErrorType
from pearhill.chat.incoming_request import IncomingRequest
from pearhill.chat.keys import Keyring, Tenant, key_in_headers, key_number
from pearhill.chat.setup import Model, RequestRules


def identify(request: IncomingRequest, keyring: Keyring) -> None:
    """Find the request's tenant. Raises ApiError if the request has no valid key.

    Without tenants in the operator's file, no key is required.
    """
    if not keyring:
        request.update_rate_limits()
        return
    key = key_in_headers(request.message.headers)
    if not key:
        raise _unauthorized("You didn't provide an API key: send Authorization: Bearer KEY.")
    tenant = keyring.owner(key)
    if tenant is None:
        raise _unauthorized("The API key is not valid here.")
    request.tenant = tenant
    request.key_number = key_number(key)
    request.is_authenticated = True
    request.update_rate_limits()


def find_model(request_rules: RequestRules, name: str, tenant: Tenant) -> Model:
    """Returns the declared model of this name or alias.

    Raises ApiError if there is no such model, or if the tenant may not use it.
    """
    model = request_rules.model(name)
    if model is None:
        raise ApiError(404, f"The model {name[:200]!r} does not exist.", "model_not_found", "model")
    if not tenant.may_use(model.name):
        raise ApiError(
            403,
            f"The model {name[:200]!r} is not allowed for this key.",
            "model_not_allowed",
            "model",
            ErrorType.PERMISSION,
        )
    return model


def _unauthorized(message: str) -> ApiError:
    challenge = (("WWW-Authenticate", "Bearer"),)
    return ApiError(401, message, "invalid_api_key", type=ErrorType.AUTHENTICATION, headers=challenge)
