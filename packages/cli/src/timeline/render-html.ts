import type { JournalEvent } from "@waxwingspread/protocol";
import type { Timeline } from "./merge-journals.js";
import { formatOffset, timelineGaps, timelineTitle } from "./render-text.js";

const ROW_HEIGHT = 22;
const HEADER_HEIGHT = 40;
const TIME_WIDTH = 120;
const LANE_WIDTH = 110;
const LABEL_WIDTH = 640;
const DOT_RADIUS = 5;
const TEXT_BASELINE = 4;
/** Browsers render a few thousand rows without delay; older rows are omitted and counted. */
const MAXIMUM_ROWS = 2_000;
const LANE_COLOURS = ["#1f77b4", "#d9601a", "#2b8a3e", "#b3261e", "#7048b6", "#7a5230", "#c2388f", "#4d5661"];

const STYLE = `
body { font: 14px sans-serif; margin: 24px; color: #1b1f24; }
svg text { font: 12px sans-serif; }
.lane { stroke: #c8cdd3; }
.lane-name { font-weight: bold; text-anchor: middle; }
.time { text-anchor: end; fill: #59636e; font-family: monospace; }
.peer { stroke-width: 1.5; stroke-dasharray: 4 3; }
.gap { color: #8a4b00; }
`;

const ESCAPES: Record<string, string> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;", "'": "&#39;" };

const escapeXml = (text: string): string => text.replace(/[&<>"']/g, character => ESCAPES[character] ?? "");

const laneX = (lane: number): number => TIME_WIDTH + LANE_WIDTH / 2 + lane * LANE_WIDTH;
const rowY = (row: number): number => HEADER_HEIGHT + ROW_HEIGHT / 2 + row * ROW_HEIGHT;
const laneColour = (lane: number): string => LANE_COLOURS[lane % LANE_COLOURS.length] ?? "#000";

const labelOf = (event: JournalEvent, request: Timeline["request"]): string => {
    const subject = request === undefined ? [event.customer, event.requestId].filter(Boolean).join("/") : "";
    const peer = event.peer === "" ? "" : `peer ${event.peer}`;
    return [event.name, subject, peer, event.detail].filter(Boolean).join("  ");
};

const renderLane = (process: string, lane: number, height: number): string => {
    const x = laneX(lane);
    return `<text class="lane-name" x="${x}" y="20" fill="${laneColour(lane)}">${escapeXml(process)}</text>`
        + `<line class="lane" x1="${x}" y1="${HEADER_HEIGHT - ROW_HEIGHT / 2}" x2="${x}" y2="${height}"/>`;
};

/** Draws a line to the lane of the event's peer, if the peer's journal was read. */
const renderPeer = (event: JournalEvent, lanes: ReadonlyMap<string, number>, lane: number, y: number): string => {
    const peerLane = lanes.get(event.peer);
    return peerLane === undefined || peerLane === lane
        ? ""
        : `<line class="peer" x1="${laneX(lane)}" y1="${y}" x2="${laneX(peerLane)}" y2="${y}"`
            + ` stroke="${laneColour(lane)}"/>`;
};

const renderSvg = (timeline: Timeline, events: readonly JournalEvent[]): string => {
    const names = [...new Set([...timeline.processes, ...events.map(event => event.process)])];
    const lanes = new Map(names.map((process, lane) => [process, lane]));
    const height = HEADER_HEIGHT + events.length * ROW_HEIGHT + ROW_HEIGHT / 2;
    const labelX = TIME_WIDTH + names.length * LANE_WIDTH;
    const first = timeline.events[0];
    const rows = events.map((event, row) => {
        const lane = lanes.get(event.process) ?? 0;
        const y = rowY(row);
        const label = escapeXml(labelOf(event, timeline.request));
        const time = new Date(event.wallMs).toISOString();
        return `<g><title>${time} ${escapeXml(event.process)} ${label}</title>`
            + `<text class="time" x="${TIME_WIDTH - 10}" y="${y + TEXT_BASELINE}">${formatOffset(event, first)}</text>`
            + renderPeer(event, lanes, lane, y)
            + `<circle cx="${laneX(lane)}" cy="${y}" r="${DOT_RADIUS}" fill="${laneColour(lane)}"/>`
            + `<text x="${labelX}" y="${y + TEXT_BASELINE}">${label}</text></g>`;
    });
    const width = labelX + LABEL_WIDTH;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" role="img">`,
        ...names.map((process, lane) => renderLane(process, lane, height)),
        ...rows,
        "</svg>",
    ].join("\n");
};

/** Renders a timeline as one HTML page without scripts or references to other files. */
export const renderHtml = (timeline: Timeline): string => {
    const events = timeline.events.slice(-MAXIMUM_ROWS);
    const omitted = timeline.events.length - events.length;
    const title = escapeXml(timelineTitle(timeline));
    const first = timeline.events[0];
    const start = first === undefined
        ? ""
        : `<p>First event ${new Date(first.wallMs).toISOString()}; offsets in ms.</p>`;
    const gaps = [
        ...timelineGaps(timeline),
        ...(omitted > 0 ? [`not drawn: the ${omitted} oldest events`] : []),
    ];
    return [
        "<!DOCTYPE html>",
        `<html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${STYLE}</style></head><body>`,
        `<h1>${title}</h1>`,
        start,
        ...gaps.map(line => `<p class="gap">${escapeXml(line)}</p>`),
        renderSvg(timeline, events),
        "</body></html>",
        "",
    ].join("\n");
};
