import { readFile } from "node:fs/promises";

/** Linux reports CPU times in ticks of 10 ms. */
const TICKS_PER_SECOND = 100;
/** Index of the user time, followed by the system time, among the fields of `stat` after the process name. */
const USER_TICKS_FIELD = 11;

/** Returns the user and system CPU time of a process, in seconds. */
export const readCpuSeconds = async (pid: number): Promise<number> => {
    const text = await readFile(`/proc/${pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) / TICKS_PER_SECOND;
};
