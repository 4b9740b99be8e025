"""The options that the commands have in common."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from lycheelug.cli.client import OperatorClient
from lycheelug.cli.output import Output

__all__ = ["Common", "CommonOptions"]


class Common:
    """The daemon's address and token, and the form of the output."""

    __slots__ = ("address", "output", "token")

    def __init__(
        self,
        *,
        address: Annotated[
            str,
            Parameter(
                env_var="LYCHEELUG_ADDRESS",
                help="Operator address of any entry daemon, ip:port.",
            ),
        ] = "127.0.0.1:8081",
        token: Annotated[
            str,
            Parameter(env_var="LYCHEELUG_TOKEN", help="The operator's token."),
        ] = "",
        output: Annotated[
            Output,
            Parameter(
                help="The output format: a table, or JSON for programs."
            ),
        ] = Output.TABLE,
    ) -> None:
        self.address = address
        self.token = token
        self.output = output

    @property
    def client(self) -> OperatorClient:
        """A client of the daemon with the given address."""
        return OperatorClient(self.address, self.token)

    @property
    def as_json(self) -> bool:
        """Whether the output is JSON."""
        return self.output is Output.JSON


CommonOptions = Annotated[Common | None, Parameter(name="*")]
