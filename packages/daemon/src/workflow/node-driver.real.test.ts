import { succeeded } from "@waxwingspread/workflow";
import type { Respond } from "@waxwingspread/workflow";
import { expect, it } from "vitest";
import { NodeDriver } from "./node-driver.js";
import type { NodeDriverOptions } from "./node-driver.js";

/** Creates a driver with only the parts that calls use. */
const createDriver = (): NodeDriver =>
    new NodeDriver({
        node: { session: undefined, run: () => undefined },
        runner: { replica: { role: undefined } },
        monitor: { record: () => undefined },
        readTimes: () => ({ nowMs: 0, timeOfDayMs: 0 }),
    } as unknown as NodeDriverOptions);

// Guards against a call that is never answered, and a process that ends, because the handling of the call throws.
it("rejects a call whose handling throws, and answers the next one", async () => {
    const driver = createDriver();
    const failing = driver.call(() => {
        throw new Error("thrown in a test");
    });
    const next = driver.call((respond: Respond<number>) => respond(succeeded(1)));
    await expect(failing).rejects.toThrow("thrown in a test");
    expect(await next).toEqual(succeeded(1));
});
