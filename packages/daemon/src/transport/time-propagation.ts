import type { Interceptor } from "@connectrpc/connect";
import type { HybridClock, HybridTime } from "@waxwingspread/common";
import { presentTimeMs } from "./present-time.js";

const HEADER = "hybrid-time";
/** Base 36 keeps the header short, since every call carries it. */
const RADIX = 36;

const format = (time: HybridTime): string =>
    `${Math.floor(time.wallMs).toString(RADIX)}.${time.logical.toString(RADIX)}`;

const parse = (text: string | null): HybridTime | undefined => {
    const [wall = "", logical = ""] = (text ?? "").split(".");
    const time = { wallMs: Number.parseInt(wall, RADIX), logical: Number.parseInt(logical, RADIX) };
    return Number.isSafeInteger(time.wallMs) && Number.isSafeInteger(time.logical) ? time : undefined;
};

const observe = (clock: HybridClock, headers: Headers): void => {
    const time = parse(headers.get(HEADER));
    if (time !== undefined) {
        clock.observe(time);
    }
};

/** Client interceptor that sends the hybrid time, so that the receiver's journal events sort after the sender's. */
export const sendTime = (clock: HybridClock): Interceptor => next => async request => {
    request.header.set(HEADER, format(clock.next(Math.floor(presentTimeMs()))));
    const response = await next(request);
    observe(clock, response.header);
    return response;
};

/** Server interceptor that advances the clock to the time in requests and returns its own time in responses. */
export const receiveTime = (clock: HybridClock): Interceptor => next => async request => {
    observe(clock, request.header);
    const response = await next(request);
    response.header.set(HEADER, format(clock.next(Math.floor(presentTimeMs()))));
    return response;
};
