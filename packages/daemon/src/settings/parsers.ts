import { isIP } from "node:net";
import { isAbsolute } from "node:path";
import { parseEndpoint } from "./endpoint.js";
import type { Endpoint } from "./endpoint.js";
import type { AddressTranslation, BootstrapPeer, TokenHash } from "./types.js";

/** Parses and validates the text of one setting. */
export interface SettingParser<T> {
    /** Description of the allowed values, for the help and for error messages. */
    readonly allowed: string;
    /** Returns undefined if the text is not an allowed value. */
    readonly parse: (text: string) => T | undefined;
}

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const INTEGER_PATTERN = /^\d{1,15}$/;
const TOKEN_HASH_PATTERN = /^([0-9a-f]{32,128}):([0-9a-f]{64})$/i;

const hasOddLength = (items: readonly unknown[]): boolean => items.length % 2 === 1;
const areDistinct = (texts: readonly string[]): boolean => new Set(texts).size === texts.length;

const parseList = <T>(text: string, parseItem: (item: string) => T | undefined): T[] | undefined => {
    const items = text.split(",").map(item => parseItem(item.trim()));
    const valid = items.filter(item => item !== undefined);
    return valid.length === items.length ? valid : undefined;
};

const parsePeer = (text: string): BootstrapPeer | undefined => {
    const [name = "", addressText = ""] = text.split("=", 2);
    const address = parseEndpoint(addressText);
    return NAME_PATTERN.test(name) && address !== undefined ? { name, address } : undefined;
};

const parseTranslation = (text: string): AddressTranslation | undefined => {
    const [fromText = "", toText = "", ...rest] = text.split("=");
    const from = parseEndpoint(fromText);
    const to = parseEndpoint(toText);
    return from !== undefined && to !== undefined && rest.length === 0 ? { from, to } : undefined;
};

/** Value of a string enum. */
export const choice = <T extends string>(members: Record<string, T>): SettingParser<T> => {
    const values = Object.values(members);
    return { allowed: values.join(" | "), parse: text => values.find(value => value === text) };
};

/** Integer within inclusive bounds. */
export const integer = (minimum: number, maximum: number): SettingParser<number> => ({
    allowed: `integer from ${minimum} to ${maximum}`,
    parse: text => {
        const value = Number(text);
        return INTEGER_PATTERN.test(text) && value >= minimum && value <= maximum ? value : undefined;
    },
});

/** Name of a VM or an availability zone. */
export const name: SettingParser<string> = {
    allowed: "1 to 63 lower-case letters, digits and inner dashes",
    parse: text => NAME_PATTERN.test(text) ? text : undefined,
};

/** IP address and port. */
export const endpoint: SettingParser<Endpoint> = {
    allowed: "IP address:port, an IPv6 address in brackets, port 1 to 65535",
    parse: parseEndpoint,
};

/** One or more distinct addresses. */
export const endpoints: SettingParser<Endpoint[]> = {
    allowed: "distinct IP address:port, separated by commas",
    parse: text => {
        const items = parseList(text, parseEndpoint);
        return items !== undefined && areDistinct(items.map(item => `${item.host} ${item.port}`)) ? items : undefined;
    },
};

/** IP address without a port. */
export const host: SettingParser<string> = {
    allowed: "IP address other than 0.0.0.0 and ::",
    parse: text => isIP(text) !== 0 && text !== "0.0.0.0" && text !== "::" ? text : undefined,
};

/** Absolute path of a folder. */
export const folder: SettingParser<string> = {
    allowed: "absolute path",
    parse: text => isAbsolute(text) ? text : undefined,
};

/** Initial cluster members. An even number tolerates no more failures than one member fewer. */
export const peers: SettingParser<BootstrapPeer[]> = {
    allowed: "odd number of name=IP address:port, separated by commas, names and addresses distinct",
    parse: text => {
        const items = parseList(text, parsePeer);
        const valid = items !== undefined
            && hasOddLength(items)
            && areDistinct(items.map(item => item.name))
            && areDistinct(items.map(item => `${item.address.host} ${item.address.port}`));
        return valid ? items : undefined;
    },
};

/** Pairs of a peer's own address and the address to connect to. */
export const translations: SettingParser<AddressTranslation[]> = {
    allowed: "IP address:port=IP address:port, separated by commas, each first address once",
    parse: text => {
        const items = parseList(text, parseTranslation);
        return items !== undefined && areDistinct(items.map(({ from }) => `${from.host} ${from.port}`))
            ? items
            : undefined;
    },
};

/** Salt and SHA-256 digest of the operator token in hexadecimal. */
export const tokenHash: SettingParser<TokenHash> = {
    allowed: "<salt, 32 to 128 hexadecimal digits>:<SHA-256 of salt and token, 64 hexadecimal digits>",
    parse: text => {
        const match = TOKEN_HASH_PATTERN.exec(text);
        const saltHex = match?.[1]?.toLowerCase();
        const sha256Hex = match?.[2]?.toLowerCase();
        const isSaltValid = saltHex !== undefined && saltHex.length % 2 === 0;
        return isSaltValid && sha256Hex !== undefined ? { saltHex, sha256Hex } : undefined;
    },
};
