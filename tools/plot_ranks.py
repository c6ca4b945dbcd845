"""Draws the results of `fireflycart-bench ranks --json=FILE` as an SVG.

Usage: plot_ranks.py RANKS.json OUT.svg

One row of bars for each scenario and kind of work: the share of offered
requests that were answered within their target, one bar for each policy.
"""

import json
import sys

COLOURS = {"fireflycart": "#1b6ca8", "first come": "#c8553d", "primary only": "#8a8a8a"}
BAR_HEIGHT = 7
FULL_WIDTH = 300
LABEL_WIDTH = 330


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        rows = json.load(file)
    groups = {}
    for row in rows:
        groups.setdefault((row["user"], row["scenario"], row["kind"]), []).append(row)
    parts = []
    y = 40
    for policy, colour in COLOURS.items():
        x = 10 + 140 * list(COLOURS).index(policy)
        parts.append(f'<rect x="{x}" y="12" width="10" height="10" fill="{colour}"/>'
                     f'<text x="{x + 14}" y="21">{policy}</text>')
    for (user, scenario, kind), entries in groups.items():
        parts.append(f'<text x="10" y="{y + 14}">{user}, {scenario}, {kind}</text>')
        for entry in entries:
            share = entry["in_target"] / max(1, entry["offered"])
            parts.append(
                f'<rect x="{LABEL_WIDTH}" y="{y}" width="{share * FULL_WIDTH:.1f}" '
                f'height="{BAR_HEIGHT - 1}" fill="{COLOURS[entry["policy"]]}"/>'
            )
            y += BAR_HEIGHT
        y += 5
    width = LABEL_WIDTH + FULL_WIDTH + 20
    svg = (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{y + 20}" '
        'font-family="sans-serif" font-size="11">'
        '<rect width="100%" height="100%" fill="white"/>' + "".join(parts) + "</svg>\n"
    )
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write(svg)


main()
