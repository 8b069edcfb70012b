import { expect, it } from "vitest";
import { InputScheduler } from "./input-scheduler.js";

// Guards against clients whose input takes long to parse and keeps the event loop from those of others.
it("has time again in the next iteration, and resumes those that have taken least first", () => {
    const callbacks: (() => void)[] = [];
    const scheduler = new InputScheduler(callback => callbacks.push(callback));
    const resumed: string[] = [];
    const inputOf = (name: string, parseMs: number) => ({ parseMs, resume: () => void resumed.push(name) });
    scheduler.recordParsing(6);
    expect(scheduler.hasTime).toBe(false);
    scheduler.wait(inputOf("long", 40));
    scheduler.wait(inputOf("short", 1));
    const left = inputOf("left", 0);
    scheduler.wait(left);
    scheduler.remove(left);
    callbacks.shift()?.();
    expect(scheduler.hasTime).toBe(true);
    expect(resumed).toEqual(["short", "long"]);
    expect(callbacks).toEqual([]);
});
