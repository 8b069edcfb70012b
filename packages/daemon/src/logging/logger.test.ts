import { expect, it } from "vitest";
import { createLogger } from "./logger.js";

it("keeps tokens and callers' data out of the log", () => {
    const lines: string[] = [];
    const destination = { write: (line: string) => void lines.push(line) };
    const logger = createLogger({ level: "info", vmName: "a", availabilityZone: "z", role: "entry", destination });
    logger.info({ operatorToken: "s3cret", request: { headers: { authorization: "s3cret" }, payload: "s3cret" } }, "x");
    logger.debug("below the level");
    expect(lines).toHaveLength(1);
    expect(lines[0]).not.toContain("s3cret");
    expect(lines[0]).toContain("\"vm\":\"a\"");
});
