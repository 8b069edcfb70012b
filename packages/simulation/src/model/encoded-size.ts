import type { HeartbeatOrders } from "@waxwingspread/workflow";

/** Bytes of a row beside its texts, and of the answer beside its rows. */
const ROW_BYTES = 24;
const ANSWER_BYTES = 160;

/** Returns the size of an answer to a heartbeat as the platform encodes it. */
export const encodedBytesOf = ({ starts, stops, paces }: HeartbeatOrders): number => {
    let bytes = ANSWER_BYTES;
    for (const { task, payload, checkpoint, eligibilityToken = "" } of starts) {
        bytes += ROW_BYTES + task.length + textBytesOf(payload) + textBytesOf(checkpoint)
            + textBytesOf(eligibilityToken);
    }
    for (const { task } of [...stops, ...paces]) {
        bytes += ROW_BYTES + task.length;
    }
    return bytes;
};

const textBytesOf = (text: string): number => Buffer.byteLength(JSON.stringify(text));
