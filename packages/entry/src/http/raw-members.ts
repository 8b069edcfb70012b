const WHITE_SPACE = new Set([" ", "\t", "\n", "\r"]);
const OPENING_BRACKETS = new Set(["{", "["]);
const CLOSING_BRACKETS = new Set(["}", "]"]);

const skipWhiteSpace = (text: string, from: number): number => {
    let position = from;
    while (WHITE_SPACE.has(text.charAt(position))) {
        position += 1;
    }
    return position;
};

/** Returns the position after the string that starts at `from`. */
const endOfString = (text: string, from: number): number => {
    let position = from + 1;
    while (position < text.length && text.charAt(position) !== "\"") {
        position += text.charAt(position) === "\\" ? 2 : 1;
    }
    return position + 1;
};

const endOfContainer = (text: string, from: number): number => {
    let depth = 0;
    let position = from;
    do {
        const character = text.charAt(position);
        if (character === "\"") {
            position = endOfString(text, position);
            continue;
        }
        depth += OPENING_BRACKETS.has(character) ? 1 : 0;
        depth -= CLOSING_BRACKETS.has(character) ? 1 : 0;
        position += 1;
    }
    while (depth > 0 && position < text.length);
    return position;
};

const endOfScalar = (text: string, from: number): number => {
    let position = from;
    while (position < text.length && !/[\s,}\]]/.test(text.charAt(position))) {
        position += 1;
    }
    return position;
};

const endOfValue = (text: string, from: number): number => {
    const first = text.charAt(from);
    if (first === "\"") {
        return endOfString(text, from);
    }
    return OPENING_BRACKETS.has(first) ? endOfContainer(text, from) : endOfScalar(text, from);
};

/**
 * Returns the unparsed value of each member of a JSON object, by name. The text must be a valid JSON object; of
 * members with equal names the last is used, as in `JSON.parse`. Values are forwarded as text because `JSON.parse`
 * rounds numbers of more than 53 bits.
 */
export const rawMembersOf = (text: string): Map<string, string> => {
    const members = new Map<string, string>();
    let position = skipWhiteSpace(text, skipWhiteSpace(text, 0) + 1);
    while (text.charAt(position) === "\"") {
        const endOfName = endOfString(text, position);
        const name = JSON.parse(text.slice(position, endOfName)) as string;
        const start = skipWhiteSpace(text, skipWhiteSpace(text, endOfName) + 1);
        const end = endOfValue(text, start);
        members.set(name, text.slice(start, end));
        position = skipWhiteSpace(text, skipWhiteSpace(text, end) + 1);
    }
    return members;
};
