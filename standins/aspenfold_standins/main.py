"""``aspenfold-standin``: runs one stand-in as a process."""

import threading

import fire

from aspenfold_standins import engine as engine_module
from aspenfold_standins import host_list
from aspenfold_standins import json_server
from aspenfold_standins import log_service
from aspenfold_standins import plain_service
from aspenfold_standins import weight_store


class StandIns:
    """Run a stand-in; it prints a JSON line once it is ready."""

    def log(self, port: int = 0) -> None:
        """Start the log service."""
        app = log_service.LogService().application()
        json_server.serve(app, name='log', port=port)

    def hosts(self, port: int = 0) -> None:
        """Start the host list."""
        app = host_list.HostListService().application()
        json_server.serve(app, name='hosts', port=port)

    def weights(self, port: int = 0, rate: float = 200.0) -> None:
        """Start the weight store, limited to RATE weights per second."""
        app = weight_store.WeightStore(rate=rate).application()
        json_server.serve(app, name='weights', port=port)

    def plain(self, port: int = 0) -> None:
        """Start a plain service."""
        app = plain_service.PlainService().application()
        json_server.serve(app, name='plain', port=port)

    def engine(
        self,
        ranks: int = 1,
        port: int = 0,
        batch: int = 16,
        cadence_ms: float = 10.0,
        weights: str = '',
        seed: int = 1,
        checks_fencing: bool = True,
        cache_size: int = 64,
    ) -> None:
        """Start a model engine with the RANKS ranks of one group."""
        engine = engine_module.Engine(
            ranks=ranks,
            batch=batch,
            step_interval=cadence_ms / 1000,
            weights_url=weights,
            seed=seed,
            checks_fencing=checks_fencing,
            cache_size=cache_size,
        )
        threading.Thread(target=engine.run, daemon=True).start()
        json_server.serve(engine.application(), name='engine', port=port)


def main() -> None:
    """Run the command line."""
    fire.Fire(StandIns)
