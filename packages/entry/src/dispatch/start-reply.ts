import { StartResult } from "@waxwingspread/protocol";
import { z } from "zod";
import type { BackendServerReply } from "../effects.js";

const HTTP_OK = 200;
const DETAIL_LIMIT_CHARACTERS = 1_024;

const startReplySchema = z.object({ result: z.enum(["accepted", "refused"]), detail: z.string().optional() });

const START_RESULTS = { accepted: StartResult.ACCEPTED, refused: StartResult.REFUSED };

/** Parses a backend server's reply to a start. Returns undefined for another status than 200 or an invalid body. */
export const parseStartReply = (reply: BackendServerReply): { result: StartResult; detail: string } | undefined => {
    if (reply.status !== HTTP_OK) {
        return undefined;
    }
    try {
        const { result, detail } = startReplySchema.parse(JSON.parse(reply.body));
        return { result: START_RESULTS[result], detail: (detail ?? "").slice(0, DETAIL_LIMIT_CHARACTERS) };
    }
    catch {
        return undefined;
    }
};
