import { parseBoundedJson } from "@waxwingspread/common";

/** A request or response on a message channel; both carry the number of the request. */
export interface NumberedMessage {
    number: number;
    body: unknown;
}

/** Encodes a message as one line. */
export const encodeMessage = (message: NumberedMessage): string => `${JSON.stringify(message)}\n`;

/** Decodes a line. Returns undefined if it is no message. */
export const decodeMessage = (line: string): NumberedMessage | undefined => {
    const message = parseBoundedJson(line) as Partial<NumberedMessage> | null | undefined;
    const number = message?.number;
    return typeof number === "number" ? { number, body: message?.body } : undefined;
};
