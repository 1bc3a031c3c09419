"""``aspenfold-standin``: starts one stand-in as a process."""

import threading

import fire

from aspenfold_standins import engine as engine_module
from aspenfold_standins import host_list
from aspenfold_standins import log as log_module
from aspenfold_standins import plain as plain_module
from aspenfold_standins import server
from aspenfold_standins import weight_store


class StandIns:
    """Starts a stand-in; each prints a JSON line once it is ready."""

    def log(self, port: int = 0) -> None:
        """Start the log service."""
        app = log_module.LogService().application()
        server.serve(app, name='log', port=port)

    def hosts(self, port: int = 0) -> None:
        """Start the host list."""
        app = host_list.HostListService().application()
        server.serve(app, name='hosts', port=port)

    def weights(self, port: int = 0, rate: float = 200.0) -> None:
        """Start the weight store, limited to RATE weights a second."""
        app = weight_store.WeightStore(rate=rate).application()
        server.serve(app, name='weights', port=port)

    def plain(self, port: int = 0) -> None:
        """Start a plain service."""
        app = plain_module.PlainService().application()
        server.serve(app, name='plain', port=port)

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
            cadence=cadence_ms / 1000,
            weights=weights,
            seed=seed,
            checks_fencing=checks_fencing,
            cache_size=cache_size,
        )
        threading.Thread(target=engine.run, daemon=True).start()
        server.serve(engine.application(), name='engine', port=port)


def main() -> None:
    """Run the command line."""
    fire.Fire(StandIns)
