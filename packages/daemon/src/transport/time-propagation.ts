import type { Interceptor } from "@connectrpc/connect";
import type { HybridClock, HybridTime } from "@waxwingspread/common";
import { monotonicNowMs } from "./monotonic-time.js";

const TIME_HEADER = "hybrid-time";
/** Base 36 keeps the header short, since every call carries it. */
const RADIX = 36;

const formatTime = (time: HybridTime): string =>
    `${Math.floor(time.wallMs).toString(RADIX)}.${time.logical.toString(RADIX)}`;

const parseTime = (text: string | null): HybridTime | undefined => {
    const [wall = "", logical = ""] = (text ?? "").split(".");
    const time = { wallMs: Number.parseInt(wall, RADIX), logical: Number.parseInt(logical, RADIX) };
    return Number.isSafeInteger(time.wallMs) && Number.isSafeInteger(time.logical) ? time : undefined;
};

const observeHeader = (clock: HybridClock, headers: Headers): void => {
    const time = parseTime(headers.get(TIME_HEADER));
    if (time !== undefined) {
        clock.observe(time);
    }
};

/** Client interceptor that sends the hybrid time, so that the receiver's journal events sort after the sender's. */
export const clientTimeInterceptor = (clock: HybridClock): Interceptor => next => async request => {
    request.header.set(TIME_HEADER, formatTime(clock.next(Math.floor(monotonicNowMs()))));
    const response = await next(request);
    observeHeader(clock, response.header);
    return response;
};

/** Server interceptor that advances the clock to the time in requests and returns its own time in responses. */
export const serverTimeInterceptor = (clock: HybridClock): Interceptor => next => async request => {
    observeHeader(clock, request.header);
    const response = await next(request);
    response.header.set(TIME_HEADER, formatTime(clock.next(Math.floor(monotonicNowMs()))));
    return response;
};
