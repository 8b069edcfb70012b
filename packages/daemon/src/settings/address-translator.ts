import { formatEndpoint } from "./endpoint.js";
import type { AddressTranslation } from "./types.js";

/** Returns the address under which a peer is reached; both are `host:port`. */
export type AddressTranslator = (address: string) => string;

/** Returns a translator that leaves all other addresses as they are. */
export const translatorOf = (translations: readonly AddressTranslation[]): AddressTranslator => {
    const reached = new Map(translations.map(({ from, to }) => [formatEndpoint(from), formatEndpoint(to)]));
    return address => reached.get(address) ?? address;
};
