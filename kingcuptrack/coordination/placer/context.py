"""Objects that the tasks of a placer share."""

import attrs

from ...settings import Settings
from ...transport.workers import WorkerClient
from .configuration import ConfigurationKeeper
from .gangs import GangCalls
from .job_table import JobTable
from .mailbox import Mailbox
from .membership import Membership


@attrs.frozen(kw_only=True)
class PlacerContext:
    """Settings, clients and state shared by a placer and the tasks that it starts."""

    settings: Settings
    membership: Membership
    configuration: ConfigurationKeeper
    job_table: JobTable
    gang_calls: GangCalls
    worker_client: WorkerClient
    mailbox: Mailbox
    metrics: object

    @property
    def data_centre(self):
        """Data centre of this instance."""
        return self.settings.data_centre

    def is_out_of_service(self):
        """Whether operators took this data centre out of service."""
        return self.data_centre in self.configuration.data_centres_out()
