/** Deepest nesting of arrays and objects in a message; the messages of all interfaces nest less than ten levels. */
const MAX_NESTING_LEVELS = 32;
/** Upper bound on the values in a message, as each takes memory and time of its own however short its text is. */
const MAX_VALUES = 250_000;
/** Texts up to this length are parsed unchecked: they can't nest too deeply for recursive functions such as encoders. */
const MAX_UNCHECKED_CHARACTERS = 2_048;

/**
 * Parses JSON that another program has sent. Returns undefined if the text is not valid, nests too deeply or has too
 * many values. The limits are checked before parsing, which takes about 50 bytes for each level and each value.
 */
export const parseBoundedJson = (text: string): unknown => {
    if (text.length > MAX_UNCHECKED_CHARACTERS && !isWithinLimits(text)) {
        return undefined;
    }
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
};

const QUOTE = "\"".charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const COMMA = ",".charCodeAt(0);
const OPENING_BRACKET = "[".charCodeAt(0);
const CLOSING_BRACKET = "]".charCodeAt(0);
const OPENING_BRACE = "{".charCodeAt(0);
const CLOSING_BRACE = "}".charCodeAt(0);

/** Whether a text that is valid JSON nests within the limit and has an allowed number of values. */
const isWithinLimits = (text: string): boolean => {
    let levels = 0;
    let values = 1;
    for (let position = 0; position < text.length; position += 1) {
        const code = text.charCodeAt(position);
        if (code === QUOTE) {
            position = endOfString(text, position);
        }
        else if (code === COMMA) {
            values += 1;
        }
        else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
            levels += 1;
            values += 1;
        }
        else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) {
            levels -= 1;
        }
        if (levels > MAX_NESTING_LEVELS || values > MAX_VALUES) {
            return false;
        }
    }
    return true;
};

/** Returns the position of the quote that ends a string, or the length of the text if there is none. */
const endOfString = (text: string, start: number): number => {
    let position = start + 1;
    while (position < text.length && text.charCodeAt(position) !== QUOTE) {
        position += text.charCodeAt(position) === BACKSLASH ? 2 : 1;
    }
    return position;
};
