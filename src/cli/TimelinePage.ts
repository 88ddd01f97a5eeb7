/**
 * The timeline as a self-contained HTML page.
 */
import { stampTime } from "../common/timeline/HybridClock.ts";
import { type TimelineEvent } from "../common/timeline/TimelineEvent.ts";

const STYLE = `
body { font: 13px/1.5 system-ui, sans-serif; margin: 1.5rem; color: #1c2733; }
table { border-collapse: collapse; width: 100%; }
th { text-align: left; position: sticky; top: 0; background: #fff; border-bottom: 2px solid #8aa; }
td, th { padding: 2px 8px; vertical-align: top; }
tr:nth-child(even) { background: #f3f7f8; }
td.time, td.ids { font-family: ui-monospace, monospace; white-space: nowrap; }
tr.requestRefused, tr.problem { color: #a11; }
tr.requestRetried, tr.upstreamLost, tr.memberChanged, tr.contactChanged { color: #85540a; }
input { width: 30rem; padding: 4px; margin-bottom: 1rem; }
`;

const SCRIPT = `
const box = document.querySelector("input");
box.addEventListener("input", () => {
    for (const row of document.querySelectorAll("tbody tr")) {
        row.hidden = !row.textContent.toLowerCase().includes(box.value.toLowerCase());
    }
});
`;

/** HTML of the page, with its style and script inline. */
export const timelinePage = (events: readonly TimelineEvent[], unreachable: readonly string[]): string => {
    const missing = unreachable.length === 0
        ? ""
        : `<p>Not reached: ${escapeHtml(unreachable.join(", "))}</p>`;
    const rows = events.map(row).join("\n");
    return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>skylarktide time line</title>
<style>${STYLE}</style></head><body><h1>Time line</h1>${missing}
<input placeholder="filter by any word or id" aria-label="filter">
<table><thead><tr><th>time</th><th>instance</th><th>event</th><th>what happened</th><th>ids</th></tr></thead>
<tbody>
${rows}
</tbody></table><script>${SCRIPT}</script></body></html>
`;
};

const row = (event: TimelineEvent): string => {
    const time = new Date(stampTime(event.stamp)).toISOString();
    const ids = [event.request, event.session, event.account, event.upstream, event.domain].filter(id =>
        id !== undefined
    );
    const cells = [
        `<td class="time">${time}</td>`,
        `<td>${escapeHtml(event.instance)}</td>`,
        `<td>${event.kind}</td>`,
        `<td>${escapeHtml(event.message)}</td>`,
        `<td class="ids">${escapeHtml(ids.join(" "))}</td>`,
    ];
    return `<tr class="${event.kind}">${cells.join("")}</tr>`;
};

const escapeHtml = (text: string): string => text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`);
