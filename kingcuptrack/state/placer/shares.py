"""Share of each organisation's guaranteed gangs in each data centre."""

import hashlib


def data_centre_shares(configuration, data_centres, data_centre):
    """Return the count of guaranteed gangs by organisation in one data centre.

    The counts depend on the arguments alone, so that the shares of data centres that
    cannot reach each other still add up to the guarantee. A data centre that is out
    of service has no share.
    """
    in_service = sorted(set(data_centres) - configuration.data_centres_out)
    if data_centre not in in_service:
        return {}
    shares = {}
    for organisation, plan_name in configuration.plan_by_organisation.items():
        gangs_count = configuration.plans[plan_name].guaranteed_gangs_count
        share, remainder = divmod(gangs_count, len(in_service))
        if remainder:
            ranked = sorted(
                in_service, key=lambda name: _rendezvous_hash(organisation, name)
            )
            share += data_centre in ranked[:remainder]
        shares[organisation] = share
    return shares


def _rendezvous_hash(organisation, data_centre):
    # With rendezvous hashing, a data centre that leaves moves only its own remainders.
    return hashlib.sha256(f"{organisation}\0{data_centre}".encode()).digest()
