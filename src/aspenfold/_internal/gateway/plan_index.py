"""Looks up the route and the organisation of a request in a plan."""

import hashlib
import secrets

from aspenfold._internal.gateway import plan as plan_module


class PlanIndex:
    """Index of a plan's routes by host and path, and of its API keys."""

    def __init__(self, *, plan: plan_module.Plan) -> None:
        self.plan = plan
        self._salt = secrets.token_bytes(16)
        self._routes: dict[str, dict[str, plan_module.Route]] = {}
        for route in plan.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        # Salted digests keep lookup times from revealing parts of a key.
        self._keys = {
            self._digest(key.encode()): organisation
            for organisation in plan.organisations
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> plan_module.Route | None:
        """Return the route of the host with the longest matching prefix.

        Return None if there is none.  Hosts are compared without case.
        """
        prefixes = self._routes.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None

    def find_organisation(self, key: bytes) -> plan_module.Organisation | None:
        """Return the organisation that holds an API key, None if unknown."""
        return self._keys.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, key=self._salt, digest_size=16).digest()
