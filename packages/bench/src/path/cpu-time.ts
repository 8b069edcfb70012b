import { readFile } from "node:fs/promises";

const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;

/** Returns the user and system CPU time of a process, in seconds. */
export const readCpuSeconds = async (pid: number): Promise<number> => {
    const text = await readFile(`/proc/${pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) / TICKS_PER_SECOND;
};
