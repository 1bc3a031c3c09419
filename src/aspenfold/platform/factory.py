"""Creates the gateway's interfaces to the platform."""

from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold.platform import config
from aspenfold.platform import endpoint_records
from aspenfold.platform import endpoint_statements
from aspenfold.platform import engine
from aspenfold.platform import store


def create_platform(address: settings.TcpAddress) -> ports.Platform:
    """Return the platform's interfaces, with the store at ``address``."""
    return ports.Platform(
        store=store.StoreClient(address=address),
        plan_topic=config.TOPIC,
        plan_key=config.KEY,
        decode_plan=config.decode,
        endpoint_topic=endpoint_records.TOPIC,
        decode_listing=endpoint_records.decode,
        engine=engine.EngineClient(),
        decode_statement=endpoint_statements.decode,
    )
