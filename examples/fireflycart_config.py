"""A small operators' library that prints a configuration of fireflycart.

Describe ranks, kinds of work and database groups, then print the document:

    fleet = Fleet()
    fleet.rank("urgent", target_ms=250)
    fleet.kind("closure", rank="urgent", deadline_ms=2000)
    group = fleet.group("yield-1")
    group.upstream("yield-1-a", "127.0.0.1:7001", "gbg-a", slots=2, connections=16)
    fleet.print()
"""

import json


class Group:
    """One database group and its upstreams."""

    def __init__(self, name, **limits):
        self.document = {"name": name, "upstreams": [], **limits}

    def upstream(self, name, address, data_centre, slots, connections, leaving=False):
        """Adds one upstream. slots: statements at a time. connections: limit."""
        entry = {
            "name": name,
            "address": address,
            "data_centre": data_centre,
            "slots": slots,
            "connections": connections,
        }
        if leaving:
            entry["leaving"] = True
        self.document["upstreams"].append(entry)


class Fleet:
    """The whole configuration."""

    def __init__(self):
        self.document = {"ranks": [], "kinds": [], "groups": []}

    def rank(self, name, target_ms, floor_percent=0):
        """Adds a rank below the ones that were added before."""
        self.document["ranks"].append(
            {"name": name, "target_ms": target_ms, "floor_percent": floor_percent}
        )

    def kind(self, name, rank, deadline_ms, weight=1):
        """Adds a kind of work. weight: its share among kinds of the rank."""
        self.document["kinds"].append(
            {"name": name, "rank": rank, "deadline_ms": deadline_ms, "weight": weight}
        )

    def group(self, name, **limits):
        """Adds a database group; limits are optional fields of the document."""
        group = Group(name, **limits)
        self.document["groups"].append(group.document)
        return group

    def print(self):
        """Prints the document that `fireflycart submit` accepts."""
        print(json.dumps(self.document, indent=2))
