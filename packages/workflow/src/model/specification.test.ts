import { expect, it } from "vitest";
import { parseTaskKey, taskKeyOf } from "./specification.js";

it("parses the keys of tasks", () => {
    const position = { jobId: "5c0e7a21d94b36f8", occurrence: 0, step: 12, index: 99_999 };
    expect(parseTaskKey(taskKeyOf(position))).toEqual(position);
});

// Guards against an end that another program reports under a name that looks like a task's and that ends the real task.
it.each([
    "j.0.0.00",
    "j.0.0.",
    "j...",
    "j.0.0.1e1",
    "j.0.0.0x1",
    "j.0.0. 1",
    "j.0.0.-1",
    "j.0.0.1.0",
    "j.0.0.0.0",
    "j.0.0",
    "j.0.0.9007199254740993",
    "",
])("takes %j for no task's key", key => {
    expect(parseTaskKey(key)).toBeUndefined();
});
