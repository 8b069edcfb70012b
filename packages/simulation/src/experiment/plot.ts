import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { TopLevelSpec } from "vega-lite";
import type { ExperimentResult } from "./experiment.js";

const WIDTH_PIXELS = 720;
const HEIGHT_PIXELS = 400;
const MS_PER_SECOND = 1_000;

/** Draws the finish time of each job, relative to its lower bound, against the length of its tasks; returns SVG. */
export const plotFinishes = (results: readonly ExperimentResult[]): Promise<string> => {
    const values = results.flatMap(({ finishes }) =>
        finishes.map(({ kind, lengthMs, tasks, finishMs, boundMs }) => ({
            kind,
            tasks,
            lengthSeconds: lengthMs / MS_PER_SECOND,
            ratio: finishMs / boundMs,
        }))
    );
    const specification: TopLevelSpec = {
        width: WIDTH_PIXELS,
        height: HEIGHT_PIXELS,
        background: "white",
        data: { values },
        mark: { type: "point", filled: true, opacity: 0.6 },
        encoding: {
            x: { field: "lengthSeconds", type: "quantitative", scale: { type: "log" }, title: "length of a task in s" },
            y: {
                field: "ratio",
                type: "quantitative",
                scale: { type: "log" },
                title: "finish time / longest chain of work",
            },
            color: { field: "kind", type: "nominal" },
            size: { field: "tasks", type: "quantitative", scale: { type: "log" } },
        },
    };
    return new View(parse(compile(specification).spec), { renderer: "none" }).toSVG();
};
